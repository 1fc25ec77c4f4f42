//! Consistency of the reference documentation with the code.

use serde_json::Value;
use sycamorelink_contract::{CustomerContract, contract_schema};

const REFERENCE: &str = include_str!("../../../../docs/contract-reference.md");

/// Returns the names of the fields of all parts of a contract.
fn fields(schema: &Value) -> Vec<&str> {
    let parts = schema["$defs"].as_object().into_iter().flatten();
    let schemas = parts.map(|(_, part)| part).chain([schema]);
    let names = schemas.flat_map(|part| part["properties"].as_object().into_iter().flatten());
    names.map(|(name, _)| name.as_str()).collect()
}

#[test]
fn reference_documents_every_field() {
    let schema = contract_schema();
    let names = fields(&schema);
    assert!(names.len() > 35, "{names:?}");
    let missing: Vec<&str> = names
        .into_iter()
        .filter(|name| !REFERENCE.contains(&format!("| `{name}` |")))
        .collect();
    assert_eq!(missing, Vec::<&str>::new());
}

#[test]
fn reference_example_is_valid() {
    let example = REFERENCE.split("```json").nth(1).expect("an example");
    let example = example.split("```").next().expect("its end");
    let contract = CustomerContract::from_json(example);
    assert!(contract.is_ok(), "{contract:?}");
}
