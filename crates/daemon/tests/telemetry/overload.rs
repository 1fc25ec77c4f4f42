//! Tests of the operators' API under overload control.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use serde_json::{Value, json};
use sycamorelink_contract::FleetContract;
use sycamorelink_daemon::adapters::{AdapterFuture, ContractSource, SourceUpdate};

use crate::http::call;
use crate::node::{NodeFixture, wait_for};

/// Description of the operators' API.
const DESCRIPTION: &str = include_str!("../../../../docs/api/openapi.json");
/// Token of a caller; the native protocol requires one, a fleet contract ignores it.
pub const TOKEN: &str = "authorization: Bearer caller";
/// Requests to a backend server with one slot.
const REQUESTS: u64 = 4;

/// A source whose contract never changes.
pub struct FixedSource {
    contract: Option<Arc<FleetContract>>,
}

impl FixedSource {
    /// Returns a source of a contract with one route, whose callers can wait for half a minute.
    pub fn new() -> Self {
        Self {
            contract: Some(Arc::new(fleet_contract())),
        }
    }
}

impl ContractSource for FixedSource {
    fn next(&mut self) -> AdapterFuture<'_, SourceUpdate> {
        let contract = self.contract.take();
        Box::pin(async move {
            match contract {
                Some(contract) => Ok(SourceUpdate::Contract(contract)),
                None => std::future::pending().await,
            }
        })
    }
}

fn fleet_contract() -> FleetContract {
    let contract = json!({
        "version": 1,
        "services": ["orders"],
        "routes": [{
            "name": "orders", "host": "", "prefix": "/", "repeat": "idempotent",
            "deadline": "60s", "objective": "30s", "attempts": 2, "priority": 5,
            "parts": [{ "service": "orders", "weight": 1 }], "public": true
        }],
        "retry_budget": { "share": 0.1, "min_per_second": 1.0 },
        "retry_slack": 10,
        "accounts": [],
    });
    serde_json::from_value(contract).expect("a fleet contract")
}

/// Replaces the values that vary between runs.
fn mask(value: &mut Value) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                if member.is_number()
                    && (name.ends_with("_ms") || name == "repeats")
                    && name != "window_ms"
                {
                    *member = json!("masked");
                }
                mask(member);
            }
        }
        Value::Array(elements) => elements.iter_mut().for_each(mask),
        _ => {}
    }
}

/// Starts a daemon beside a backend server with one slot that accepts requests and never replies,
/// and returns the reply about its service once `REQUESTS` requests are there.
fn service_reply(name: &str, limits: Value) -> Value {
    let source = Box::new(FixedSource::new());
    let node = NodeFixture::start_fleet(name, limits, source);
    let server = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = server.local_addr().expect("the listener has an address");
    let announced = json!({
        "service": "orders", "address": address, "slots": 1, "phase": "ready", "warm_up": "0s"
    });
    let head = "PUT /v1/local/upstreams/1";
    wait_for("the announcement", || {
        let reply = call(node.operators(), head, &[], &announced.to_string());
        (reply.status == 204).then_some(())
    });
    let service = || node.admin("GET /v1/services/orders", &[], "").body;
    wait_for("the upstream", || {
        (service()["floor"]["serving_count"] == 1).then_some(())
    });
    let callers = node.handle.addresses().callers;
    let open: Vec<TcpStream> = (0..REQUESTS)
        .map(|_| {
            let mut stream = TcpStream::connect(callers).expect("the daemon listens");
            let head = format!("GET /prices HTTP/1.1\r\nhost: {callers}\r\n{TOKEN}\r\n\r\n");
            let written = stream.write_all(head.as_bytes());
            written.expect("the request is sent");
            stream
        })
        .collect();
    let reply = wait_for("the requests", || {
        let load = node.admin("GET /v1/status", &[], "").body;
        let waiting = load["upstreams"][0]["waiting"].as_u64();
        let reply = service();
        // The record of the server is renewed twice a second.
        let recorded = reply.get("overload").map_or(waiting, |overload| {
            overload["servers"][0]["queued"].as_u64()
        });
        let is_complete = [waiting, recorded] == [Some(REQUESTS - 1); 2];
        is_complete.then_some(reply)
    });
    drop(open);
    drop(server);
    node.handle.stop();
    reply
}

/// Asserts that a value has exactly the members that a schema of the API's description lists.
fn assert_described(schemas: &Value, name: &str, value: &Value) {
    let properties = schemas[name]["properties"].as_object();
    let properties = properties.expect("the schema is described");
    let members = value.as_object().expect("an object");
    assert!(members.keys().eq(properties.keys()), "{name}: {value}");
    for (member, property) in properties {
        let is_list = property.get("items").is_some();
        let schema = if is_list {
            &property["items"]
        } else {
            property
        };
        let Some(target) = schema["$ref"].as_str() else {
            continue;
        };
        let target = target.rsplit('/').next().expect("a name");
        if is_list {
            let elements = value[member].as_array().into_iter().flatten();
            elements.for_each(|element| assert_described(schemas, target, element));
        } else {
            assert_described(schemas, target, &value[member]);
        }
    }
}

// Guards against an operator who cannot see through the API what waits beside a full server.
#[test]
fn service_reply_shows_overload_control() {
    let limits = json!({ "overload": { "objective_from": "2s" } });
    let mut reply = service_reply("watched", limits);
    let description: Value = serde_json::from_str(DESCRIPTION).expect("JSON");
    let schemas = &description["components"]["schemas"];
    assert_described(schemas, "ServiceOverload", &reply["overload"]);
    mask(&mut reply);
    insta::assert_snapshot!(format!("{reply:#}"));
}

// Guards against a changed reply for fleets that have not switched overload control on.
#[test]
fn service_reply_is_unchanged_without_overload_control() {
    let mut reply = service_reply("unwatched", json!({}));
    mask(&mut reply);
    insta::assert_snapshot!(format!("{reply:#}"));
}
