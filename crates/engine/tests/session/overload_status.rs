//! Status of overload control, as shown to operators.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamorelink_contract::{AccountQuota, ContentDigest, FleetAccount, FleetContract};
use sycamorelink_core::{CustomerName, RefusalCode, ServiceName};
use sycamorelink_engine::{CallerRequest, EngineSettings, NodeEvent, OverloadStatus};
use sycamorelink_policy::PolicyMechanism;

use crate::fleet_contract::contract;
use crate::world::{BackendScript, SessionWorld, caller_request, name_of, node};

/// Nodes of the fleet, each with one backend server.
const NODES: u8 = 3;
/// Run time of a backend server.
const RUN_TIME: Duration = Duration::from_millis(500);
/// Requests that fill the slots of all servers, their queues, and more.
const FLOOD: u128 = 300;
/// Time after which all records are known.
const SETTLE_TIME: Duration = Duration::from_secs(4);

fn patient_contract() -> FleetContract {
    let mut contract = contract(1, "/prices/");
    for route in &mut contract.routes {
        route.objective = Duration::from_secs(4);
        route.deadline = Duration::from_secs(8);
    }
    contract
}

fn start(objective_from: Option<Duration>, off: &[PolicyMechanism]) -> SessionWorld {
    start_under(patient_contract(), objective_from, off)
}

fn start_under(
    contract: FleetContract,
    objective_from: Option<Duration>,
    off: &[PolicyMechanism],
) -> SessionWorld {
    let mut settings = EngineSettings::default();
    settings.overload.objective_from = objective_from;
    settings.overload.queue = 20;
    settings.policy.off = off.iter().copied().collect::<BTreeSet<_>>();
    let mut world = SessionWorld::start_fleet_with(1, NODES, contract, settings);
    for name in (0..NODES).map(name_of) {
        let script = BackendScript {
            time: RUN_TIME,
            ..BackendScript::default()
        };
        world.scripts.insert(node(&name), script);
    }
    world.run_for(SETTLE_TIME);
    world
}

fn flood(world: &mut SessionWorld) {
    for number in 1..=FLOOD {
        world.call("a", number, "POST", "/bookings", None);
    }
    world.run_for(Duration::from_millis(700));
}

fn status(world: &SessionWorld, name: &str) -> Option<OverloadStatus> {
    world.engines()[&node(name)].overload_status(&ServiceName::new("orders"))
}

// Guards against an operator who cannot see what waits and why requests are refused while all
// backend servers are full.
#[test]
fn status_shows_queues_refusals_and_records() {
    let mut world = start(Some(Duration::from_secs(3)), &[]);
    flood(&mut world);
    let status = status(&world, "a").expect("overload control applies");
    let queues = status.queues.iter().map(|queue| format!("{queue:?}"));
    let waiting = status.waiting.iter().flatten();
    let waiting = waiting.map(|(reason, status)| format!("{}: {status:?}", reason.as_str()));
    let servers = status.servers.iter().map(|record| format!("{record:?}"));
    let lines: Vec<String> = queues
        .chain(waiting)
        .chain([format!("{:?}", status.refusals)])
        .chain(servers)
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

fn account(name: &str, quota: Option<AccountQuota>) -> FleetAccount {
    FleetAccount {
        name: CustomerName::new(name),
        keys: vec![ContentDigest::of(name.as_bytes())],
        priority: None,
        quota,
    }
}

// Guards against refusals that cannot be told apart by account, and against refusals by quota,
// which end before a request has a service, that are missing in the view of the service.
#[test]
fn refusals_are_counted_by_account() {
    let mut contract = patient_contract();
    let quota = AccountQuota {
        rate: 1.0,
        burst: 1.0,
    };
    contract.accounts = vec![account("mill", None), account("granary", Some(quota))];
    let mut world = start_under(contract, Some(Duration::from_secs(3)), &[]);
    let send = |world: &mut SessionWorld, number: u128, name: &str| {
        let request = CallerRequest {
            account_key: Some(ContentDigest::of(name.as_bytes())),
            ..caller_request(number, "POST", "/bookings", None)
        };
        world.send_event("a", NodeEvent::RequestArrived(request));
    };
    // The keepers of a quota learn the demand from reports, so the account needs a steady load.
    for number in 1..=200 {
        send(&mut world, number, "granary");
        world.run_for(Duration::from_millis(100));
    }
    for number in 201..=200 + FLOOD {
        send(&mut world, number, "mill");
    }
    world.run_for(Duration::from_millis(700));
    let refusals = status(&world, "a")
        .expect("overload control applies")
        .refusals;
    let reasons: Vec<RefusalCode> = refusals.reasons.keys().copied().collect();
    let expected = [
        RefusalCode::LimitExceeded,
        RefusalCode::Overloaded,
        RefusalCode::NoCapacity,
    ];
    assert_eq!(BTreeSet::from_iter(reasons), expected.into());
    let names: BTreeSet<&str> = refusals
        .accounts
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(names, ["granary", "mill"].into());
    let by_account: u32 = refusals.accounts.iter().map(|(_, count)| count).sum();
    assert_eq!(by_account, refusals.reasons.values().sum::<u32>());
}

// Guards against a status with parts that are switched off.
#[test]
fn parts_that_are_off_are_empty() {
    let off = [
        PolicyMechanism::DeadlineQueue,
        PolicyMechanism::CapacityReports,
        PolicyMechanism::CallerQueue,
    ];
    let mut world = start(Some(Duration::from_secs(3)), &off);
    flood(&mut world);
    let status = status(&world, "a").expect("overload control applies");
    assert!(status.queues.is_empty() && status.servers.is_empty());
    assert_eq!(status.waiting, None);
    assert!(!status.refusals.reasons.is_empty());
}

// Guards against a change of the view of fleets without overload control.
#[test]
fn there_is_no_status_without_overload_control() {
    for objective_from in [None, Some(Duration::from_secs(5))] {
        let mut world = start(objective_from, &[]);
        flood(&mut world);
        assert_eq!(status(&world, "a"), None);
    }
}

// Guards against counts that stay after the refusals are older than a minute.
#[test]
fn refusals_are_counted_for_a_minute() {
    let mut world = start(Some(Duration::from_secs(3)), &[]);
    flood(&mut world);
    world.run_for(Duration::from_secs(70));
    let status = status(&world, "a").expect("overload control applies");
    assert!(status.refusals.reasons.is_empty(), "{:?}", status.refusals);
    assert!(
        status
            .queues
            .iter()
            .all(|queue| queue.longest_wait.is_none())
    );
}
