//! Differences between two contracts, as a list of JSON paths.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::contract::CustomerContract;

/// Value that differs between two contracts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueChange {
    /// JSON path, such as `services[orders].floor`. List items are identified by name, id, or
    /// methods and prefix, so that reordering them is not a difference.
    pub place: String,
    /// Old value; `None` if there was none.
    pub old: Option<Value>,
    /// New value; `None` if there is none.
    pub new: Option<Value>,
}

impl fmt::Display for ValueChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{}: {old} -> {new}", self.place),
            (None, Some(new)) => write!(f, "{}: + {new}", self.place),
            (Some(old), None) => write!(f, "{}: - {old}", self.place),
            (None, None) => f.write_str(&self.place),
        }
    }
}

/// Returns all differences between two contracts in order of JSON path.
#[must_use]
pub fn diff(old: &CustomerContract, new: &CustomerContract) -> Vec<ValueChange> {
    let old = serde_json::to_value(old).unwrap_or_default();
    let new = serde_json::to_value(new).unwrap_or_default();
    let mut changes = Vec::new();
    compare("", Some(&old), Some(&new), &mut changes);
    changes
}

fn compare(place: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<ValueChange>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let place = if place.is_empty() {
                    key.clone()
                } else {
                    format!("{place}.{key}")
                };
                compare(&place, old.get(key), new.get(key), changes);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) if has_names(old) && has_names(new) => {
            let names: BTreeSet<String> = old.iter().chain(new).filter_map(item_name).collect();
            let find = |items: &'_ [Value], name: &str| {
                items
                    .iter()
                    .position(|item| item_name(item).as_deref() == Some(name))
            };
            for name in names {
                let before = find(old, &name).map(|index| &old[index]);
                let after = find(new, &name).map(|index| &new[index]);
                compare(&format!("{place}[{name}]"), before, after, changes);
            }
        }
        _ => changes.push(ValueChange {
            place: place.to_owned(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

fn has_names(items: &[Value]) -> bool {
    items.iter().all(|item| item_name(item).is_some())
}

/// Returns the name that identifies an item of a list, if it has one.
fn item_name(item: &Value) -> Option<String> {
    if let Some(prefix) = item["prefix"].as_str() {
        let methods = item["methods"].as_array()?;
        let methods: Vec<&str> = methods.iter().filter_map(Value::as_str).collect();
        return Some(format!("{} {prefix}", methods.join(",")));
    }
    let name = item["name"].as_str().or_else(|| item["id"].as_str())?;
    Some(name.to_owned())
}
