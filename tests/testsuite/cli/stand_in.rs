//! The `stand-in` command, which end-to-end tests use to start servers.

use super::run;

#[test]
fn stand_in_prints_its_listen_address() {
    for kind in ["log", "backend"] {
        let text = run(&["stand-in", kind, "--for", "1ms"]);
        let line = text.lines().nth(2).expect("a line on stdout");
        let value: serde_json::Value = serde_json::from_str(line).expect("a JSON line");
        assert_eq!(value["event"], "listening", "{text}");
        let address = value["address"].as_str().expect("an address");
        let address: std::net::SocketAddr = address.parse().expect("an IP and port");
        assert_ne!(address.port(), 0);
    }
}
