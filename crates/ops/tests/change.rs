//! Commands that change contracts: requests sent and output printed.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use support::{FakeDaemon, ScriptedReply, reply, run};
use sycamorelink_contract::samples;
use sycamorelink_ops::contract::{
    AmendOptions, BaseVersion, ChangeOptions, WaitOptions, amend_contract, publish_contract,
    remove_contract, roll_back_contract, wait_for_change,
};
use tempfile::TempDir;

const CHANGE_ID: &str = "0192f0c1-2d3e-7f40-8a5b-6c7d8e9fa0b1";

struct SampleFile {
    _directory: TempDir,
    path: PathBuf,
}

impl SampleFile {
    fn write() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("contract.json");
        std::fs::write(&path, samples::brannock_json()).expect("a file");
        Self {
            _directory: directory,
            path,
        }
    }
}

fn options() -> ChangeOptions {
    ChangeOptions {
        change: None,
        wait: Duration::from_secs(20),
    }
}

fn amend_options(base: BaseVersion) -> AmendOptions {
    AmendOptions {
        base,
        change: options(),
    }
}

fn in_force() -> ScriptedReply {
    reply(
        200,
        r#"{"customer": "brannock", "change": "x", "version": 8}"#,
    )
    .version(8)
}

#[test]
fn publish_sends_base_version_zero() {
    let daemon = FakeDaemon::start(vec![in_force()]);
    let file = SampleFile::write();
    let text = run(&[daemon.address()], |context| {
        publish_contract(context, &file.path, &options())
    });
    insta::assert_snapshot!(format!("{text}=== calls\n{}", daemon.calls()));
}

#[test]
fn amend_on_current_reads_the_version_first() {
    let current = reply(200, &samples::brannock_json()).version(7);
    let daemon = FakeDaemon::start(vec![current, in_force()]);
    let file = SampleFile::write();
    let text = run(&[daemon.address()], |context| {
        amend_contract(context, &file.path, &amend_options(BaseVersion::Current))
    });
    insta::assert_snapshot!(format!("{text}=== calls\n{}", daemon.calls()));
}

/// The operator amends version 5 while another operator has already published version 6. The error
/// names the version in force and its operator.
#[test]
fn stale_base_reports_the_conflicting_change() {
    let problem = r#"{"title": "the base is stale", "status": 412, "code": "base-stale",
        "winner": {"change": "c-6", "version": 6, "operator": "ada"}}"#;
    let daemon = FakeDaemon::start(vec![reply(412, problem)]);
    let file = SampleFile::write();
    let text = run(&[daemon.address()], |context| {
        amend_contract(context, &file.path, &amend_options(BaseVersion::Version(5)))
    });
    insta::assert_snapshot!(text);
}

/// A daemon accepted the change but its reply was lost, so the next daemon reports the base as
/// stale because of that same change. The tool must report success, not a conflict.
#[test]
fn conflict_with_the_same_change_id_is_success() {
    let problem = format!(
        r#"{{"title": "the base is stale", "status": 412, "code": "base-stale",
            "winner": {{"change": "{}", "version": 6}}}}"#,
        CHANGE_ID.replace('-', "")
    );
    let accepted = reply(200, r#"{"change": "x", "state": "accepted", "version": 6}"#);
    let daemon = FakeDaemon::start(vec![reply(412, &problem), accepted]);
    let text = run(&[daemon.address()], |context| {
        let options = AmendOptions {
            base: BaseVersion::Version(5),
            change: ChangeOptions {
                change: CHANGE_ID.parse().ok(),
                ..options()
            },
        };
        remove_contract(context, "brannock", &options)
    });
    insta::assert_snapshot!(text);
}

/// The first daemon is unreachable and may have accepted the change, the second one is draining,
/// and the third one accepts the change. All attempts must carry the same id, so that the change is
/// applied once.
#[test]
fn failover_sends_the_same_change_id() {
    let draining = r#"{"title": "draining", "status": 503, "code": "not-ready"}"#;
    let second = FakeDaemon::start(vec![reply(503, draining)]);
    let third = FakeDaemon::start(vec![in_force()]);
    let gone: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let text = run(&[gone, second.address(), third.address()], |context| {
        let options = AmendOptions {
            base: BaseVersion::Version(7),
            change: ChangeOptions {
                change: CHANGE_ID.parse().ok(),
                ..options()
            },
        };
        remove_contract(context, "brannock", &options)
    });
    assert_eq!(second.calls(), third.calls());
    insta::assert_snapshot!(format!("{text}=== calls\n{}", third.calls()));
}

/// The log is slow and the daemon answers that the change is pending. The tool polls the change by
/// its id until it is accepted.
#[test]
fn pending_change_is_polled_by_id() {
    let daemon = FakeDaemon::start(vec![
        reply(202, r#"{"change": "x", "state": "pending"}"#),
        reply(200, r#"{"change": "x", "state": "unknown"}"#),
        reply(200, r#"{"change": "x", "state": "accepted", "version": 9}"#),
    ]);
    let text = run(&[daemon.address()], |context| {
        let options = amend_options(BaseVersion::Version(8));
        roll_back_contract(context, "brannock", 3, &options)
    });
    insta::assert_snapshot!(format!("{text}=== calls\n{}", daemon.calls()));
}

/// The log is down and the change stays pending until the wait ends. The tool must report that the
/// change may still take effect, not that it failed.
#[test]
fn unconfirmed_change_is_not_reported_as_failed() {
    let daemon = FakeDaemon::start(vec![reply(200, r#"{"change": "x", "state": "pending"}"#)]);
    let text = run(&[daemon.address()], |context| {
        let options = WaitOptions {
            limit: Duration::ZERO,
            everywhere: false,
        };
        wait_for_change(context, CHANGE_ID, &options)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn rejected_change_reports_the_conflicting_change() {
    let rejected = r#"{"change": "x", "state": "rejected", "reason": "another change came first",
        "winner": {"version": 9, "operator": "bo"}}"#;
    let daemon = FakeDaemon::start(vec![reply(200, rejected)]);
    let text = run(&[daemon.address()], |context| {
        let options = WaitOptions {
            limit: Duration::from_secs(20),
            everywhere: false,
        };
        wait_for_change(context, CHANGE_ID, &options)
    });
    insta::assert_snapshot!(text);
}

/// One daemon lags behind, one is dead, and one has not reported its contract version. The wait
/// ends when the lagging daemon has caught up.
#[test]
fn wait_everywhere_waits_for_all_live_daemons() {
    let fleet = |head: u64| {
        reply(
            200,
            &format!(
                r#"{{"members": [
                  {{"instance": "i-1", "state": "alive", "contract_head": 12}},
                  {{"instance": "i-2", "state": "alive", "contract_head": {head}}},
                  {{"instance": "i-3", "state": "dead", "contract_head": 3}},
                  {{"instance": "i-4", "state": "alive"}}]}}"#
            ),
        )
    };
    let accepted = reply(
        200,
        r#"{"change": "x", "state": "accepted", "version": 12}"#,
    );
    let daemon = FakeDaemon::start(vec![accepted, fleet(11), fleet(12)]);
    let text = run(&[daemon.address()], |context| {
        let options = WaitOptions {
            limit: Duration::from_secs(20),
            everywhere: true,
        };
        wait_for_change(context, CHANGE_ID, &options)
    });
    insta::assert_snapshot!(text);
}

#[test]
fn daemon_findings_are_printed() {
    let problem = r#"{"title": "the contract has findings", "status": 422, "code": "findings",
        "findings": [{"place": "rate.per_second", "message": "must be above 0"},
                     {"place": "services[0].floor", "message": "must be at most 1"}]}"#;
    let daemon = FakeDaemon::start(vec![reply(422, problem)]);
    let file = SampleFile::write();
    let text = run(&[daemon.address()], |context| {
        publish_contract(context, &file.path, &options())
    });
    insta::assert_snapshot!(text);
}

#[test]
fn unknown_token_exits_with_denied() {
    let daemon = FakeDaemon::start(vec![reply(401, "")]);
    let text = run(&[daemon.address()], |context| {
        remove_contract(context, "brannock", &amend_options(BaseVersion::Version(1)))
    });
    insta::assert_snapshot!(text);
}
