//! The breaker beside a backend server: who is let through while it may be failing.

use std::time::Duration;

use sycamorelink_policy::{BreakerVerdict, SampleKind, UpstreamBreaker};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn busy(breaker: &mut UpstreamBreaker, from: u64, runs: u64) {
    for run in 0..runs {
        breaker.ended(at(from + run * 200), SampleKind::Served);
    }
}

#[test]
fn a_sound_server_takes_everything() {
    let mut breaker = UpstreamBreaker::new(at(0));
    busy(&mut breaker, 0, 50);
    assert_eq!(breaker.admit(at(10_000), false), BreakerVerdict::Admitted);
}

/// A server's own errors come now and then from a sound server too. One of them holds nothing off;
/// two close together do.
#[test]
fn two_errors_close_together_hold_work_off_and_one_does_not() {
    let mut breaker = UpstreamBreaker::new(at(0));
    busy(&mut breaker, 0, 10);
    breaker.ended(at(2_000), SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_010), false), BreakerVerdict::Admitted);
    breaker.ended(at(2_100), SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_110), false), BreakerVerdict::Held);
}

/// A server loses a connection. From the next request on, work that must not repeat stays away, and
/// one repeatable request at a time is let through as a trial.
#[test]
fn one_loss_leaves_only_trials() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(100), SampleKind::ConnectionLost);
    let verdicts = [
        breaker.admit(at(101), false),
        breaker.admit(at(102), true),
        breaker.admit(at(103), true),
    ];
    let wanted = [
        BreakerVerdict::Held,
        BreakerVerdict::Trial,
        BreakerVerdict::Held,
    ];
    assert_eq!(verdicts, wanted);
}

/// A server fails for ten seconds. Trials of it are paid for by the bound on repeats that all nodes
/// share, so that the further ones come seldom.
#[test]
fn trials_of_a_failing_server_are_few() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), SampleKind::ConnectionLost);
    let mut trials = 0;
    for millis in (0..10_000).step_by(20) {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 5), SampleKind::ConnectionLost);
            breaker.trial_ended(at(millis + 5));
        }
    }
    assert!((3..=6).contains(&trials), "{trials}");
}

/// A server recovers. Within some whole replies it takes everything again.
#[test]
fn whole_replies_bring_a_server_back() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), SampleKind::ConnectionLost);
    let mut trials = 0;
    let mut millis = 0;
    while breaker.admit(at(millis), false) == BreakerVerdict::Held {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 300), SampleKind::Served);
            breaker.trial_ended(at(millis + 300));
        }
        millis += 310;
    }
    assert!(
        trials <= 4 && millis < 5_000,
        "{trials} trials, {millis} ms"
    );
}

/// No repeatable request comes that could serve as a trial. After about as long as faults last the
/// server is given work again.
#[test]
fn a_server_that_nobody_can_try_comes_back_with_time() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), SampleKind::ConnectionLost);
    assert_eq!(breaker.admit(at(5_000), false), BreakerVerdict::Held);
    assert_eq!(breaker.admit(at(12_000), false), BreakerVerdict::Admitted);
}
