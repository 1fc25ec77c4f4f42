//! Tests that replies of the operators' API match the description in `docs/api/openapi.json`.

use serde_json::Value;
use sycamorelink_ops::{ApiCall, DaemonClient, Method, ToolSettings};

use super::daemon::SiteFixture;

const DESCRIPTION: &str = include_str!("../../../docs/api/openapi.json");

/// GET paths of the API: the path to request, and its path template in the description.
const READ_PATHS: [(&str, &str); 8] = [
    ("/v1/status", "/v1/status"),
    ("/v1/fleet", "/v1/fleet"),
    ("/v1/services/orders", "/v1/services/{service}"),
    ("/v1/burn", "/v1/burn"),
    ("/v1/contracts", "/v1/contracts"),
    ("/v1/contracts/brannock", "/v1/contracts/{customer}"),
    (
        "/v1/contracts/brannock/history",
        "/v1/contracts/{customer}/history",
    ),
    (
        "/v1/changes/0192f0c12d3e7f408a5b6c7d8e9fa0b1",
        "/v1/changes/{id}",
    ),
];

/// Checks a JSON value against the schema features that the description uses: references, types,
/// enumerations, required members, properties and array items.
struct SchemaCheck<'a> {
    description: &'a Value,
    findings: Vec<String>,
}

impl SchemaCheck<'_> {
    fn check(&mut self, place: &str, schema: &Value, value: &Value) {
        if let Some(target) = schema["$ref"].as_str() {
            let pointer = target.trim_start_matches('#');
            let schema = self.description.pointer(pointer).expect("a schema").clone();
            return self.check(place, &schema, value);
        }
        if !schema_types(schema)
            .iter()
            .any(|type_name| matches_type(type_name, value))
        {
            self.findings
                .push(format!("{place}: {value} is no {}", schema["type"]));
        }
        if let Some(choices) = schema["enum"]
            .as_array()
            .filter(|choices| !choices.contains(value))
        {
            self.findings
                .push(format!("{place}: {value} is none of {choices:?}"));
        }
        for name in schema["required"].as_array().into_iter().flatten() {
            let name = name.as_str().expect("a name");
            if value.get(name).is_none() {
                self.findings.push(format!("{place}.{name} is missing"));
            }
        }
        for (name, member) in schema["properties"].as_object().into_iter().flatten() {
            if let Some(found) = value.get(name) {
                self.check(&format!("{place}.{name}"), member, found);
            }
        }
        for (index, element) in value.as_array().into_iter().flatten().enumerate() {
            self.check(&format!("{place}[{index}]"), &schema["items"], element);
        }
    }
}

fn schema_types(schema: &Value) -> Vec<&str> {
    match &schema["type"] {
        Value::Array(schema_types) => schema_types.iter().filter_map(Value::as_str).collect(),
        type_name => type_name.as_str().into_iter().collect(),
    }
}

fn matches_type(type_name: &str, value: &Value) -> bool {
    match type_name {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "integer" => value.is_u64(),
        "number" => value.is_number(),
        "boolean" => value.is_boolean(),
        _ => value.is_null(),
    }
}

fn client_of(site: &SiteFixture) -> DaemonClient {
    let settings = ToolSettings {
        daemons: vec![site.operators()],
        token: Some("operator-demo".into()),
        ..ToolSettings::default()
    };
    DaemonClient::open(&settings).expect("a client")
}

#[test]
fn replies_match_the_openapi_description() {
    let site = SiteFixture::start();
    site.write_sample("brannock.json");
    site.run_until(&["contract", "publish", "brannock.json"], "exit code 0");
    site.run_until(&["instance"], "orders");
    let client = client_of(&site);
    let description: Value = serde_json::from_str(DESCRIPTION).expect("JSON");
    let mut check = SchemaCheck {
        description: &description,
        findings: Vec::new(),
    };
    for (path, described) in READ_PATHS {
        let reply = client.call(&ApiCall::get(path)).expect("a reply");
        let value: Value = reply.json().expect("JSON");
        let operation = &description["paths"][described]["get"];
        let schema = &operation["responses"]["200"]["content"]["application/json"]["schema"];
        check.check(path, schema, &value);
    }
    assert!(check.findings.is_empty(), "{}", check.findings.join("\n"));
}

// Guards against names being compared without percent-decoding: clients may escape any letter.
#[test]
fn percent_encoded_names_are_decoded() {
    let site = SiteFixture::start();
    site.write_sample("brannock.json");
    site.run_until(&["contract", "publish", "brannock.json"], "exit code 0");
    site.run_until(&["instance"], "orders");
    let client = client_of(&site);
    let read = |path: &str| {
        let reply = client.call(&ApiCall::get(path));
        reply.map(|reply| reply.json::<Value>().expect("JSON"))
    };
    let plain = read("/v1/contracts/brannock").expect("a reply");
    let escaped = read("/v1/contracts/%62rann%6fck").expect("a reply");
    assert_eq!(escaped, plain);
    let service = read("/v1/services/%6Frders").expect("a reply");
    assert_eq!(service["service"], "orders");
    let later = read("/v1/contracts?after=brannoc%6B").expect("a reply");
    assert_eq!(later["contracts"], Value::Array(Vec::new()));
    for path in ["/v1/contracts/%6", "/v1/contracts/%zz", "/v1/contracts/%ff"] {
        let refused = read(path).expect_err("a refusal").to_string();
        assert!(refused.contains("(400)"), "{path}: {refused}");
    }
}

// Guards against a contract change without an audit record: routing decodes a percent-encoded path,
// so the audit log must decode it too.
#[test]
fn change_through_percent_encoded_path_is_audited() {
    let site = SiteFixture::start();
    let client = client_of(&site);
    let id = "0192f0c1-2d3e-7f40-8a5b-6c7d8e9fa0b1";
    let call = ApiCall::new(Method::DELETE, "/v1/%63ontracts/br%61nnock").change(id, 7);
    client.call(&call).expect_err("there is no such customer");
    let line = site.wait_logged("SL9009");
    assert!(line.contains("remove-contract"), "{line}");
    assert!(line.contains("brannock"), "{line}");
}
