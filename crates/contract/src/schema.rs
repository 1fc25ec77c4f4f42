//! Schema validation of contracts.
//!
//! Compares a JSON document with the contract's schema and reports all unknown keys, missing keys
//! and wrong types together, whereas a deserializer stops at the first error.

use serde_json::{Map, Value};
use sycamorelink_core::unit::{
    DURATION_FORMAT, ExactSyntax, SIZE_FORMAT, UnitError, parse_duration, parse_size,
};
use sycamorelink_core::{FindingList, nearest_name};

use crate::digest::ContentDigest;

/// Prefix of a reference to a shared definition.
const DEFINITION_PREFIX: &str = "#/$defs/";

pub(crate) fn check(schema: &Value, value: &Value) -> FindingList {
    let mut checker = SchemaChecker {
        root: schema,
        findings: FindingList::default(),
    };
    checker.check(schema, value, "");
    checker.findings
}

struct SchemaChecker<'a> {
    root: &'a Value,
    findings: FindingList,
}

impl<'a> SchemaChecker<'a> {
    fn check(&mut self, schema: &'a Value, value: &Value, place: &str) {
        let schema = self.resolve(schema);
        if let Some(choices) = choices(schema) {
            self.check_choice(&choices, value, place);
            return;
        }
        if !self.check_type(schema, value, place) {
            return;
        }
        match value {
            Value::Object(map) => self.check_object(schema, map, place),
            Value::Array(items) => self.check_items(schema, items, place),
            Value::String(text) => self.check_format(schema, text, place),
            Value::Number(number) => {
                let below = |low: f64| number.as_f64().is_some_and(|number| number < low);
                if schema["minimum"].as_f64().is_some_and(below) {
                    self.add(place, format!("must not be below {}", schema["minimum"]));
                }
            }
            Value::Null | Value::Bool(_) => {}
        }
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        if let Some(reference) = schema["$ref"].as_str() {
            let name = reference
                .strip_prefix(DEFINITION_PREFIX)
                .unwrap_or_default();
            return self.resolve(&self.root["$defs"][name]);
        }
        // The schema of an optional value is `anyOf` the value's schema and null.
        if let Some(parts) = schema["anyOf"].as_array() {
            let part = parts.iter().find(|part| part["type"] != "null");
            return part.map_or(schema, |part| self.resolve(part));
        }
        schema
    }

    fn check_choice(&mut self, choices: &[&str], value: &Value, place: &str) {
        let Some(text) = value.as_str() else {
            self.add(place, format!("must be one of {}", choices.join(", ")));
            return;
        };
        if !choices.contains(&text) {
            let hint = hint(text, choices.iter().copied());
            self.add(
                place,
                format!("{text:?} is not one of {}{hint}", choices.join(", ")),
            );
        }
    }

    fn check_type(&mut self, schema: &Value, value: &Value, place: &str) -> bool {
        let wanted: Vec<&str> = match &schema["type"] {
            Value::String(name) => vec![name],
            Value::Array(names) => names.iter().filter_map(Value::as_str).collect(),
            _ => return true,
        };
        let fits = wanted.iter().any(|name| has_type(value, name));
        if !fits {
            let wanted: Vec<&str> = wanted.into_iter().filter(|name| *name != "null").collect();
            self.add(
                place,
                format!(
                    "must be of type {}, not {}",
                    wanted.join(" or "),
                    type_name(value)
                ),
            );
        }
        fits
    }

    fn check_object(&mut self, schema: &'a Value, map: &Map<String, Value>, place: &str) {
        let Some(known) = schema["properties"].as_object() else {
            return;
        };
        for (key, value) in map {
            let place = join(place, key);
            if let Some(schema) = known.get(key) {
                self.check(schema, value, &place);
            } else {
                let hint = hint(key, known.keys().map(String::as_str));
                self.add(&place, format!("unknown key{hint}"));
            }
        }
        let required = schema["required"].as_array().into_iter().flatten();
        for key in required.filter_map(Value::as_str) {
            if !map.contains_key(key) {
                self.add(&join(place, key), "is missing".to_owned());
            }
        }
    }

    fn check_items(&mut self, schema: &'a Value, items: &[Value], place: &str) {
        for (index, item) in items.iter().enumerate() {
            self.check(&schema["items"], item, &format!("{place}[{index}]"));
        }
    }

    fn check_format(&mut self, schema: &Value, text: &str, place: &str) {
        let message = match schema["format"].as_str() {
            Some(DURATION_FORMAT) => error_message(parse_duration::<ExactSyntax>(text)),
            Some(SIZE_FORMAT) => error_message(parse_size::<ExactSyntax>(text)),
            Some("sha256") if ContentDigest::from_hex(text).is_none() => {
                Some("must be the 64 hexadecimal digits of a SHA-256 digest".to_owned())
            }
            _ => None,
        };
        if let Some(message) = message {
            self.add(place, message);
        }
    }

    fn add(&mut self, place: &str, message: String) {
        let place = if place.is_empty() { "$" } else { place };
        self.findings.add(place, message);
    }
}

fn error_message<T>(result: Result<T, UnitError>) -> Option<String> {
    result.err().map(|error| error.to_string())
}

/// Returns the values of an enumeration, which a schema contains as `enum` or `oneOf`.
fn choices(schema: &Value) -> Option<Vec<&str>> {
    if let Some(values) = schema["enum"].as_array() {
        return Some(values.iter().filter_map(Value::as_str).collect());
    }
    let parts = schema["oneOf"].as_array()?;
    Some(
        parts
            .iter()
            .flat_map(|part| {
                let many = part["enum"].as_array().into_iter().flatten();
                many.filter_map(Value::as_str).chain(part["const"].as_str())
            })
            .collect(),
    )
}

fn has_type(value: &Value, name: &str) -> bool {
    match name {
        "integer" => value.is_u64() || value.is_i64(),
        "number" => value.is_number(),
        _ => type_name(value) == name,
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}

fn join(place: &str, key: &str) -> String {
    if place.is_empty() {
        key.to_owned()
    } else {
        format!("{place}.{key}")
    }
}

fn hint<'a, I>(unknown: &str, known: I) -> String
where
    I: IntoIterator<Item = &'a str>,
{
    nearest_name(unknown, known)
        .map(|name| format!(", did you mean {name:?}?"))
        .unwrap_or_default()
}
