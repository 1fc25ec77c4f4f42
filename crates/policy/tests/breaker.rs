//! Circuit breaker of a backend server: which work it admits while the server may be failing.

use std::time::Duration;

use sycamorelink_policy::{BreakerVerdict, SampleKind, UpstreamBreaker};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn serve_runs(breaker: &mut UpstreamBreaker, from: u64, runs: u64) {
    for run in 0..runs {
        breaker.ended(at(from + run * 200), 0, SampleKind::Served);
    }
}

#[test]
fn healthy_server_takes_all_work() {
    let mut breaker = UpstreamBreaker::new(at(0));
    serve_runs(&mut breaker, 0, 50);
    assert_eq!(breaker.admit(at(10_000), false), BreakerVerdict::Admitted);
}

/// Errors come now and then from a healthy server too. One must not hold work off; two close
/// together must.
#[test]
fn two_errors_close_together_hold_work_off_and_one_does_not() {
    let mut breaker = UpstreamBreaker::new(at(0));
    serve_runs(&mut breaker, 0, 10);
    breaker.ended(at(2_000), 0, SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_010), false), BreakerVerdict::Admitted);
    breaker.ended(at(2_100), 0, SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_110), false), BreakerVerdict::Held);
}

/// After one lost connection, non-repeatable work is held off from the next request on, and one
/// repeatable request is admitted as a trial.
#[test]
fn one_loss_leaves_only_trials() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(100), 0, SampleKind::ConnectionLost);
    let verdicts = [
        breaker.admit(at(101), false),
        breaker.admit(at(102), true),
        breaker.admit(at(103), true),
    ];
    let expected = [
        BreakerVerdict::Held,
        BreakerVerdict::Trial,
        BreakerVerdict::Held,
    ];
    assert_eq!(verdicts, expected);
}

/// A server fails for ten seconds. Trials use up the retry budget that all nodes share, so they
/// must become rare.
#[test]
fn trials_of_a_failing_server_are_few() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    let mut trials = 0;
    for millis in (0..10_000).step_by(20) {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 5), 0, SampleKind::ConnectionLost);
            breaker.end_trial();
        }
    }
    assert!((3..=6).contains(&trials), "{trials}");
}

/// A recovered server takes all work again after a few complete replies.
#[test]
fn complete_replies_bring_a_server_back() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    let mut trials = 0;
    let mut millis = 0;
    while breaker.admit(at(millis), false) == BreakerVerdict::Held {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 300), 0, SampleKind::Served);
            breaker.end_trial();
        }
        millis += 310;
    }
    assert!(
        trials <= 4 && millis < 5_000,
        "{trials} trials, {millis} ms"
    );
}

/// Without a repeatable request that could serve as a trial, the server gets work again after about
/// the usual length of a fault.
#[test]
fn server_without_trials_comes_back_over_time() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    assert_eq!(breaker.admit(at(5_000), false), BreakerVerdict::Held);
    assert_eq!(breaker.admit(at(12_000), false), BreakerVerdict::Admitted);
}

/// Records successful runs of one kind of work that take 60 to 220 ms.
fn learn_run_times(breaker: &mut UpstreamBreaker, kind: u64, runs: u64) {
    for run in 0..runs {
        let started_at = at(run * 400);
        breaker.started(started_at, run, kind, Duration::from_secs(3));
        let took = Duration::from_millis(60 + run % 5 * 40);
        breaker.ended(started_at + took, run, SampleKind::Served);
    }
}

/// A server accepts requests and never answers, so only the age of its runs is evidence.
/// Non-repeatable work must be held off within a second, before any caller has given up.
#[test]
fn hung_runs_hold_work_off_before_they_end() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    let hung = at(20_000);
    breaker.started(hung, 100, 1, Duration::from_secs(3));
    breaker.started(hung, 101, 1, Duration::from_secs(3));
    assert!(!breaker.is_suspect(hung + Duration::from_millis(150)));
    assert!(breaker.is_suspect(hung + Duration::from_secs(1)));
    assert_eq!(
        breaker.admit(hung + Duration::from_secs(1), false),
        BreakerVerdict::Held
    );
}

/// With the evidence of open runs switched off, a server that never answers gets work until callers
/// have given up.
#[test]
fn open_runs_are_no_evidence_when_ages_are_off() {
    let mut breaker = UpstreamBreaker::new(at(0)).use_run_ages(false);
    learn_run_times(&mut breaker, 1, 50);
    breaker.started(at(20_000), 100, 1, Duration::from_secs(3));
    assert!(!breaker.is_suspect(at(23_000)));
}

/// A run is late and its server becomes suspect; then it answers. The reply must cancel the
/// evidence of its age.
#[test]
fn late_reply_cancels_the_evidence_of_its_age() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    breaker.started(at(20_000), 100, 1, Duration::from_secs(3));
    let late = breaker.odds(at(21_500));
    breaker.ended(at(21_500), 100, SampleKind::Served);
    assert!(breaker.odds(at(21_500)) < late - 3.0, "{late}");
    assert!(!breaker.is_suspect(at(21_500)));
}

/// The evidence of a hung run's age must remain when its caller gives up. Otherwise the server
/// would get the next request as if it were healthy.
#[test]
fn cancelled_run_counts_by_its_age() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    for run in 100..102 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(3));
    }
    for run in 100..102 {
        breaker.ended(at(22_000), run, SampleKind::Cancelled);
    }
    assert!(breaker.is_suspect(at(22_001)));
}

/// Two kinds of work run on one server, one ten times longer than the other. An age that is usual
/// for the long kind is evidence for the short one.
#[test]
fn run_times_are_learned_per_kind_of_work() {
    let mut breaker = UpstreamBreaker::new(at(0));
    for run in 0..60 {
        let started_at = at(run * 300);
        for (kind, took) in [(1, 40), (2, 400)] {
            let id = run * 2 + kind;
            breaker.started(started_at, id, kind, Duration::from_secs(3));
            breaker.ended(
                started_at + at(took + run % 7 * took / 10),
                id,
                SampleKind::Served,
            );
        }
    }
    let started_at = at(20_000);
    breaker.started(started_at, 900, 2, Duration::from_secs(3));
    let long = breaker.odds(started_at + at(450));
    breaker.ended(started_at + at(460), 900, SampleKind::Served);
    breaker.started(at(21_000), 901, 1, Duration::from_secs(3));
    let short = breaker.odds(at(21_450));
    assert!(short > long + 1.0, "{short} against {long}");
}

/// Where a third of a service's servers fail at all times, a server without recent reports is no
/// worse than the others and takes work. Where one in thirty fails, the same server is held off.
#[test]
fn server_is_held_off_only_when_worse_than_usual() {
    let after_one_loss = |usual: f64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        breaker.set_usual_chance(usual);
        breaker.ended(at(0), 0, SampleKind::ConnectionLost);
        breaker.is_suspect(at(6_500))
    };
    assert!(!after_one_loss(0.33));
    assert!(after_one_loss(0.03));
}

/// A breaker must learn that faults of a second end soon and that faults of 40 seconds don't.
#[test]
fn length_of_faults_is_learned() {
    let return_after = |length: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        let mut now = 0;
        for _ in 0..8 {
            for _ in 0..4 {
                breaker.ended(at(now), 0, SampleKind::ConnectionLost);
                now += length / 4;
            }
            serve_runs(&mut breaker, now, 150);
            now += 30_000;
        }
        breaker.ended(at(now), 0, SampleKind::ConnectionLost);
        let recovery = (0..600).find(|tenth| !breaker.is_suspect(at(now + tenth * 100)));
        recovery.expect("it is given work again within a minute")
    };
    let (short, long) = (return_after(1_000), return_after(40_000));
    assert!(
        short < 60 && long > 150,
        "{short} and {long} tenths of a second"
    );
}

/// A server refuses part of its requests. None of them is lost, so non-repeatable work must not be
/// held off.
#[test]
fn refusals_do_not_make_a_server_suspect() {
    let mut breaker = UpstreamBreaker::new(at(0));
    serve_runs(&mut breaker, 0, 10);
    for run in 0..6 {
        breaker.ended(at(2_100 + run * 10), 0, SampleKind::Refused);
    }
    assert_eq!(breaker.admit(at(2_200), false), BreakerVerdict::Admitted);
}

/// Where servers fail by dropping connections, a nearly full server with longer runs must not
/// become suspect. Where servers hang, a run of the same age is strong evidence.
#[test]
fn ages_are_weak_evidence_where_faults_are_not_silent() {
    let odds_of_late_run = |bad_end: SampleKind| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn_run_times(&mut breaker, 1, 60);
        for run in 100..112 {
            let started_at = at(30_000 + run * 10);
            breaker.started(started_at, run, 1, Duration::from_secs(3));
            breaker.ended(started_at + at(2_000), run, bad_end);
        }
        serve_runs(&mut breaker, 40_000, 100);
        breaker.started(at(70_000), 200, 1, Duration::from_secs(3));
        breaker.odds(at(70_600)) - breaker.odds(at(70_010))
    };
    let lost = odds_of_late_run(SampleKind::ConnectionLost);
    let hung = odds_of_late_run(SampleKind::Cancelled);
    assert!(lost < 2.5 && hung > 3.0, "{lost} and {hung} nats");
}

/// A server hangs for two seconds and recovers, but the runs that it left open end only after their
/// callers' six seconds. Each must count once, when it becomes late, so that complete replies to
/// trials bring the server back sooner.
#[test]
fn runs_left_open_by_a_fault_do_not_prolong_it() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    for run in 100..108 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(6));
    }
    for millis in (20_000..22_500).step_by(100) {
        breaker.count_hung_runs(at(millis));
    }
    assert!(breaker.is_suspect(at(22_500)));
    for trial in 0..5 {
        let started_at = at(22_500 + trial * 200);
        breaker.started(started_at, 200 + trial, 1, Duration::from_secs(3));
        breaker.ended(started_at + at(100), 200 + trial, SampleKind::Served);
    }
    assert!(
        !breaker.is_suspect(at(23_500)),
        "{}",
        breaker.odds(at(23_500))
    );
}

/// A run that was counted as hung answers after all. Its reply must cancel that evidence.
#[test]
fn reply_cancels_the_evidence_of_a_hung_run() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    for run in 100..102 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(6));
    }
    assert_eq!(breaker.count_hung_runs(at(21_500)).len(), 2);
    assert!(breaker.count_hung_runs(at(21_600)).is_empty());
    for run in 100..102 {
        breaker.ended(at(21_700), run, SampleKind::Served);
    }
    assert!(!breaker.is_suspect(at(21_700)));
}

/// Simulates a breaker in a service whose servers fail in turn: six seconds healthy, then three
/// seconds in which 17 of 20 requests get an error within a few milliseconds. Nine requests arrive
/// per second, half of them repeatable; complete runs take about 300 ms.
///
/// Returns the number of errors that non-repeatable work met in each fault.
fn count_errors_by_fault(faults: u64) -> Vec<u64> {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.set_usual_chance(0.3);
    let mut errors_by_fault = Vec::new();
    let mut run = 0;
    for fault in 0..faults {
        let mut errors = 0;
        for step in 0..80 {
            let now = at(fault * 9_000 + step * 111);
            run += 1;
            let repeatable = run % 2 == 0;
            let verdict = breaker.admit(now, repeatable);
            if verdict == BreakerVerdict::Held {
                continue;
            }
            breaker.started(now, run, 1, Duration::from_secs(3));
            let fails = step >= 54 && run % 20 < 17;
            let (took, end) = if fails {
                (at(2), SampleKind::Failed)
            } else {
                (at(250 + run % 5 * 30), SampleKind::Served)
            };
            errors += u64::from(fails && !repeatable);
            breaker.ended(now + took, run, end);
            if verdict == BreakerVerdict::Trial {
                breaker.end_trial();
            }
        }
        errors_by_fault.push(errors);
    }
    errors_by_fault
}

/// Faults recur on a server that returns errors at once, and the breaker must not learn these
/// errors as usual. In the tenth fault as in the first, at most two bookings are lost before
/// non-repeatable work is held off.
#[test]
fn early_errors_hold_work_off_in_every_fault() {
    let errors_by_fault = count_errors_by_fault(10);
    assert!(
        errors_by_fault.iter().all(|errors| *errors <= 2),
        "{errors_by_fault:?}"
    );
}

/// An error as late as a usual reply may be due to the request and must not hold work off. One that
/// comes before any work could be done must.
#[test]
fn early_error_is_stronger_evidence_than_a_late_one() {
    let suspect_after = |took: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn_run_times(&mut breaker, 1, 50);
        breaker.started(at(21_000), 100, 1, Duration::from_secs(3));
        breaker.ended(at(21_000 + took), 100, SampleKind::Failed);
        breaker.is_suspect(at(21_000 + took))
    };
    assert!(suspect_after(2));
    assert!(!suspect_after(140));
}

/// A server fails by returning errors after the usual run time, such as one with a failing disk or
/// database. After a few faults its breaker must have learned that such errors indicate a fault.
#[test]
fn outcomes_of_faults_are_learned() {
    let odds_after_one = |faults: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        let mut now = 0;
        let mut run = 0;
        for _ in 0..faults {
            for step in 0..40 {
                run += 1;
                breaker.started(at(now), run, 1, Duration::from_secs(3));
                now += 250 + step % 5 * 30;
                let kind = if step >= 30 {
                    SampleKind::Failed
                } else {
                    SampleKind::Served
                };
                breaker.ended(at(now), run, kind);
            }
        }
        serve_runs(&mut breaker, now, 20);
        now += 4_000;
        let before = breaker.odds(at(now));
        breaker.started(at(now), run + 1, 1, Duration::from_secs(3));
        breaker.ended(at(now + 300), run + 1, SampleKind::Failed);
        breaker.odds(at(now + 300)) - before
    };
    let (first, sixth) = (odds_after_one(0), odds_after_one(6));
    assert!(sixth > first + 0.5, "{first} and {sixth} nats");
}

/// An error that a failed downstream call explains is no evidence about the server and leaves no
/// run open.
#[test]
fn explained_error_is_no_evidence() {
    let odds_after = |explained: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn_run_times(&mut breaker, 1, 50);
        for run in 0..explained {
            breaker.started(at(21_000), 100 + run, 1, Duration::from_secs(3));
            breaker.ended_without_evidence(100 + run);
        }
        breaker.odds(at(23_000)).to_bits()
    };
    assert_eq!(odds_after(4), odds_after(0));
}

/// Returns the time, in milliseconds, from the end of a fault to when non-repeatable work is
/// admitted again. The fault lasts nearly six seconds, each bad run takes `bad_run` milliseconds,
/// and a repeatable request arrives every 100 ms.
fn recovery_millis(bad_run: u64) -> u64 {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn_run_times(&mut breaker, 1, 50);
    let mut run = 1_000;
    for step in 0..200 {
        let now = at(21_000 + step * 100);
        let fault = step < 57;
        if !fault && !breaker.is_suspect(now) {
            return (step - 57) * 100;
        }
        if breaker.admit(now, true) == BreakerVerdict::Held {
            continue;
        }
        run += 1;
        breaker.started(now, run, 1, Duration::from_secs(3));
        let (took, end) = if fault {
            (bad_run, SampleKind::Failed)
        } else {
            (90, SampleKind::Served)
        };
        breaker.ended(now + at(took), run, end);
        breaker.end_trial();
    }
    u64::MAX
}

/// Servers fail in turn for a few seconds each, with errors within a few milliseconds. A recovered
/// one must not be idle for as long again: trials that fail at once cost little, so they may be
/// frequent.
#[test]
fn server_with_immediate_errors_recovers_within_a_second() {
    let recovery = recovery_millis(2);
    assert!(recovery <= 1_000, "{recovery} ms");
}
