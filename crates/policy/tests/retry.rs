//! Decisions on retries and hedges: only what is certainly correct.

use std::time::Duration;

use sycamorelink_core::{NodeId, RunState, UpstreamId};
use sycamorelink_policy::{AttemptOutcome, RetryDecision, RetryPlan};

const USUAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(2);

fn upstream(node: u64) -> UpstreamId {
    UpstreamId {
        node: NodeId(node),
        slot: 0,
    }
}

#[test]
fn decisions_by_state_and_time() {
    let mut lines = Vec::new();
    for idempotent in [true, false] {
        for run in [RunState::NotRun, RunState::Ran, RunState::Unknown] {
            for now in [Duration::from_secs(1), Duration::from_millis(1_950)] {
                let mut plan = RetryPlan::new(idempotent, DEADLINE);
                plan.tried(upstream(1));
                let decision = plan.decide(now, &AttemptOutcome::new(run), USUAL);
                lines.push(format!(
                    "idempotent {idempotent:5} {run:8} at {now:?}: {decision:?}"
                ));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// A payout may have run when its reply was lost, and a retry could pay twice. Only a certain "not
/// run" may allow a retry, however much time is left.
#[test]
fn payout_that_may_have_run_is_not_retried() {
    let plan = RetryPlan::new(false, Duration::from_hours(1));
    for run in [RunState::Ran, RunState::Unknown] {
        let decision = plan.decide(Duration::ZERO, &AttemptOutcome::new(run), USUAL);
        assert!(matches!(decision, RetryDecision::Stop(_)));
    }
    assert_eq!(plan.hedge_at(Duration::ZERO, Some(USUAL)), None);
}

#[test]
fn attempts_are_limited_and_exclude_tried_upstreams() {
    let mut plan = RetryPlan::new(true, DEADLINE);
    for node in 0..4 {
        plan.tried(upstream(node));
    }
    assert_eq!(plan.exclude().as_slice().len(), 4);
    let decision = plan.decide(
        Duration::ZERO,
        &AttemptOutcome::new(RunState::NotRun),
        USUAL,
    );
    assert!(matches!(decision, RetryDecision::Stop(_)));
}

/// A request that crashes backend servers must not be sent to the next one.
#[test]
fn crash_request_is_not_retried() {
    let plan = RetryPlan::new(true, DEADLINE);
    let mut outcome = AttemptOutcome::new(RunState::Unknown);
    outcome.request_fault = true;
    let decision = plan.decide(Duration::ZERO, &outcome, USUAL);
    assert!(matches!(decision, RetryDecision::Stop(_)));
}

#[test]
fn hedges_wait_for_the_usual_latency_and_respect_the_deadline() {
    let plan = RetryPlan::new(true, DEADLINE);
    let at = plan.hedge_at(Duration::from_secs(1), Some(USUAL));
    assert_eq!(at, Some(Duration::from_millis(1_100)));
    assert_eq!(
        plan.hedge_at(Duration::from_millis(1_900), Some(USUAL)),
        None
    );
    assert_eq!(plan.hedge_at(Duration::ZERO, None), None);
}

// Guards against a request that ends after its wait because it used up its attempts before, and
// against one that has tried every server and can go to none.
#[test]
fn resumed_request_has_further_attempts_and_prefers_untried_upstreams() {
    let outcome = AttemptOutcome::new(RunState::NotRun);
    let mut plan = RetryPlan::new(true, DEADLINE).with_all_attempts();
    for node in 0..10 {
        plan.tried(upstream(node));
    }
    let decision = plan.decide(Duration::ZERO, &outcome, USUAL);
    assert!(matches!(decision, RetryDecision::Stop(_)));
    assert!(!plan.may_try_again());
    plan.resume();
    assert!(plan.may_try_again());
    for node in 10..14 {
        let decision = plan.decide(Duration::ZERO, &outcome, USUAL);
        assert_eq!(decision, RetryDecision::Retry, "attempt at {node}");
        plan.tried(upstream(node));
    }
    let decision = plan.decide(Duration::ZERO, &outcome, USUAL);
    assert!(matches!(decision, RetryDecision::Stop(_)));
    let excluded = plan.exclude();
    let excluded = excluded.as_slice();
    assert_eq!(excluded.len(), 10);
    assert!(excluded.contains(&upstream(13)) && !excluded.contains(&upstream(3)));
}
