//! Structural comparison of two contracts.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

/// Fields that identify the elements of a list, tried in order. Elements are matched by these
/// fields instead of by position, so that an element inserted at the front is one difference.
const ELEMENT_KEYS: [&[&str]; 3] = [&["name"], &["id"], &["prefix", "methods"]];

/// Value that differs between two contracts.
#[derive(Clone, Debug, PartialEq)]
pub struct ContractDifference {
    /// Path of the value in the document, such as `services[orders].floor`.
    pub path: String,
    /// Value before; `None` if the value was added.
    pub before: Option<Value>,
    /// Value after; `None` if the value was removed.
    pub after: Option<Value>,
}

impl fmt::Display for ContractDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (None, None) => Ok(()),
        }
    }
}

/// Returns all differences, fields in alphabetical order and list elements in document order.
#[must_use]
pub fn value_differences(before: &Value, after: &Value) -> Vec<ContractDifference> {
    let mut differences = Vec::new();
    compare("", Some(before), Some(after), &mut differences);
    differences
}

fn compare(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<ContractDifference>,
) {
    match (before, after) {
        (Some(before), Some(after)) if before == after => {}
        (Some(Value::Object(_)), Some(Value::Object(_))) => {
            compare_objects(path, before, after, differences);
        }
        (Some(Value::Array(old)), Some(Value::Array(new)))
            if has_unique_keys(old) && has_unique_keys(new) =>
        {
            compare_keyed_lists(path, old, new, differences);
        }
        _ => differences.push(ContractDifference {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

fn compare_objects(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<ContractDifference>,
) {
    let both = [before, after];
    let objects = both
        .iter()
        .filter_map(|value| value.and_then(Value::as_object));
    let keys: BTreeSet<&String> = objects.flat_map(serde_json::Map::keys).collect();
    for key in keys {
        let inner = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        let old = before.and_then(|value| value.get(key));
        let new = after.and_then(|value| value.get(key));
        compare(&inner, old, new, differences);
    }
}

fn compare_keyed_lists(
    path: &str,
    before: &[Value],
    after: &[Value],
    differences: &mut Vec<ContractDifference>,
) {
    let find = |list: &[Value], key: &str| {
        let mut elements = list.iter();
        let found = elements.find(|element| element_key(element).as_deref() == Some(key));
        found.cloned()
    };
    let mut keys: Vec<String> = Vec::new();
    for key in before.iter().chain(after).filter_map(element_key) {
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    for key in keys {
        let old = find(before, &key);
        let new = find(after, &key);
        compare(
            &format!("{path}[{key}]"),
            old.as_ref(),
            new.as_ref(),
            differences,
        );
    }
}

fn has_unique_keys(list: &[Value]) -> bool {
    let keys: BTreeSet<String> = list.iter().filter_map(element_key).collect();
    keys.len() == list.len()
}

fn element_key(element: &Value) -> Option<String> {
    ELEMENT_KEYS
        .iter()
        .find_map(|fields| joined_fields(element, fields))
}

fn joined_fields(element: &Value, fields: &[&str]) -> Option<String> {
    let parts: Option<Vec<String>> = fields
        .iter()
        .map(|field| element.get(*field).map(plain_text))
        .collect();
    parts.map(|parts| parts.join(" "))
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
