//! Deserializes a document and continues after each error, so that one run reports all findings.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;
use sycamorelink_core::{FindingList, nearest_name};

/// Maximum number of findings reported for one document; more would hide the first ones.
const MAX_FINDINGS: usize = 100;

/// Replacement for an invalid element in a list of addresses.
const PLACEHOLDER_ADDRESS: &str = "127.0.0.1:1";

/// A document with defaults for its invalid values, and the findings about them.
#[derive(Debug)]
pub(super) struct CollectedDocument<T> {
    pub(super) document: T,
    pub(super) findings: FindingList,
}

/// Deserializes the value. Each invalid part becomes a finding and keeps its default.
pub(super) fn collect_document<T>(mut value: Value) -> CollectedDocument<T>
where
    T: DeserializeOwned + Default,
{
    let mut findings = FindingList::default();
    while findings.0.len() < MAX_FINDINGS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(document) => return CollectedDocument { document, findings },
            Err(error) => error,
        };
        let place = error.path().to_string();
        let is_reported = findings.0.iter().any(|finding| finding.place == place);
        if !is_reported {
            findings.add(place, describe_error(&error));
        }
        let segments: Vec<&Segment> = error.path().iter().collect();
        if !remove_value(&mut value, &segments) {
            break;
        }
    }
    CollectedDocument {
        document: T::default(),
        findings,
    }
}

/// Returns the text of the error; for an unknown name, with the most similar known name.
fn describe_error(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    let text = error.inner().to_string();
    if text.starts_with("invalid socket address") {
        return "needs an IP address and a port, as in \"10.0.0.1:7000\"".to_owned();
    }
    let Some((unknown, known)) = unknown_name(&text) else {
        return text;
    };
    match nearest_name(unknown, known.iter().copied()) {
        Some(nearest) => format!("unknown `{unknown}`; did you mean `{nearest}`?"),
        None => format!("unknown `{unknown}`; known are {}", known.join(", ")),
    }
}

/// Extracts the unknown name and the known ones from the error text of serde's derive, such as
/// ``unknown field `lisen`, expected one of `listen`, `log` ``.
fn unknown_name(text: &str) -> Option<(&str, Vec<&str>)> {
    if !text.starts_with("unknown field") && !text.starts_with("unknown variant") {
        return None;
    }
    let mut quoted = text.split('`').skip(1).step_by(2);
    let unknown = quoted.next()?;
    Some((unknown, quoted.collect()))
}

/// Removes the value at the path. Returns `false` when nothing is left to remove.
fn remove_value(root: &mut Value, segments: &[&Segment]) -> bool {
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut target = &mut *root;
    for segment in parents {
        let Some(next) = child_value(target, segment) else {
            return false;
        };
        target = next;
    }
    match (last, target) {
        (Segment::Map { key }, Value::Object(object)) => object.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(elements)) => {
            elements.get_mut(*index).is_some_and(replace_element) || remove_value(root, parents)
        }
        _ => false,
    }
}

fn child_value<'a>(value: &'a mut Value, segment: &Segment) -> Option<&'a mut Value> {
    match segment {
        Segment::Map { key } => value.get_mut(key.as_str()),
        Segment::Seq { index } => value.get_mut(*index),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Replaces an invalid array element by a placeholder, so that the elements after it keep their
/// index in later findings. Tries an empty object first, then an address. Returns `false` when both
/// were invalid.
fn replace_element(element: &mut Value) -> bool {
    let object = Value::Object(serde_json::Map::new());
    let address = Value::from(PLACEHOLDER_ADDRESS);
    if *element == address {
        return false;
    }
    *element = if *element == object { address } else { object };
    true
}
