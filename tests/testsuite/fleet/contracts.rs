//! An accepted contract is in force on every daemon within seconds, and no daemon returns to an
//! older version.

use serde_json::{Value, json};

use crate::support::fixture::{FleetFixture, price_check};
use crate::support::{wait_for, wait_until};

fn contract_with_rate(rate: f64) -> String {
    let text = sycamorelink_contract::samples::brannock().to_json();
    let mut contract: Value = serde_json::from_str(&text).expect("the sample is JSON");
    contract["rate"]["per_second"] = json!(rate);
    contract.to_string()
}

fn log_head(fleet: &FleetFixture, index: usize) -> u64 {
    fleet.instances[index].get_json("/v1/status")["contracts"]["head"]
        .as_u64()
        .unwrap_or_default()
}

// Guards against a lost update when two operators amend the same version through two daemons. The
// order in the log decides, and the rejected operator gets the id of the change that won.
#[test]
fn first_of_two_concurrent_amendments_wins() {
    let fleet = FleetFixture::start(3);
    fleet.publish_sample();
    let replies: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..2)
            .map(|index| {
                let contract = contract_with_rate(300.0 + f64::from(index));
                let fleet = &fleet;
                let place = usize::try_from(index).unwrap_or_default();
                scope.spawn(move || fleet.publish(place, "brannock", 1, &contract))
            })
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("a reply"))
            .collect()
    });
    let mut statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let loser = replies
        .iter()
        .find(|reply| reply.status == 412)
        .expect("one lost")
        .json();
    let winner = replies
        .iter()
        .find(|reply| reply.status == 200)
        .expect("one won")
        .json();
    assert_eq!(loser["winner"]["change"], winner["change"]);
    for index in 0..3 {
        wait_until("both changes to be read", || log_head(&fleet, index) == 3);
        let shown = fleet.instances[index].get_json("/v1/contracts/brannock");
        let first = fleet.instances[0].get_json("/v1/contracts/brannock");
        assert_eq!(shown["rate"], first["rate"]);
    }
}

// Guards against a duplicate change when an append takes effect and its reply is lost. The daemon
// must search the log for the change's id instead of appending again.
#[test]
fn lost_append_reply_is_resolved_from_the_log() {
    let fleet = FleetFixture::start(2);
    fleet.publish_sample();
    fleet.control_log(&json!({ "mode": "lose-replies" }));
    let reply = fleet.publish(0, "brannock", 1, &contract_with_rate(321.0));
    assert_eq!(reply.status, 200, "{:?}", reply.json());
    fleet.control_log(&json!({ "mode": "up" }));
    assert_eq!(log_head(&fleet, 0), 2);
}

// Guards against an outage of the log stopping the fleet. A change is refused, and a daemon that
// starts during the outage gets the contracts in force from its peers.
#[test]
fn daemon_started_during_log_outage_gets_contracts_from_peers() {
    let mut fleet = FleetFixture::start(2);
    fleet.publish_sample();
    fleet.control_log(&json!({ "mode": "unavailable" }));
    let refused = fleet.publish(0, "brannock", 1, &contract_with_rate(333.0));
    assert_eq!(
        (refused.status, refused.code().as_str()),
        (503, "log-unavailable")
    );
    fleet.control_log(&json!({ "mode": "down" }));
    fleet.add_instance("latecomer");
    let reply = wait_for("the latecomer to serve", || {
        let reply = price_check()
            .send(&fleet.instances[2].caller_address())
            .ok()?;
        (reply.status == 200).then_some(reply)
    });
    assert_eq!(reply.run_state(), "ran");
    assert_eq!(log_head(&fleet, 2), 1);
}

// Guards against unreadable records in the contract stream blocking later changes: garbage, a
// truncated record and an empty object.
#[test]
fn unreadable_records_do_not_stop_replay() {
    let fleet = FleetFixture::start(2);
    fleet.publish_sample();
    let log = fleet.log.address("address");
    for record in [
        &b"\x00\xff garbage"[..],
        b"{\"format\":1,\"kind\":\"change\"",
        b"{}",
    ] {
        let request = crate::support::http::TestRequest::new("POST", "/v1/logs/contracts/records");
        assert_eq!(
            request
                .body(record)
                .send(&log)
                .expect("the log answers")
                .status,
            201
        );
    }
    let reply = fleet.publish(1, "brannock", 1, &contract_with_rate(350.0));
    assert_eq!(reply.status, 200, "{:?}", reply.json());
    for index in 0..2 {
        wait_until("the change to be in force", || log_head(&fleet, index) == 5);
        let shown = fleet.instances[index].get_json("/v1/contracts/brannock");
        assert_eq!(shown["rate"]["per_second"], 350.0);
    }
}
