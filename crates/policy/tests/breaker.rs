//! The breaker beside a backend server: who is let through while it may be failing.

use std::time::Duration;

use sycamorelink_policy::{BreakerVerdict, SampleKind, UpstreamBreaker};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn busy(breaker: &mut UpstreamBreaker, from: u64, runs: u64) {
    for run in 0..runs {
        breaker.ended(at(from + run * 200), 0, SampleKind::Served);
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
    breaker.ended(at(2_000), 0, SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_010), false), BreakerVerdict::Admitted);
    breaker.ended(at(2_100), 0, SampleKind::Failed);
    assert_eq!(breaker.admit(at(2_110), false), BreakerVerdict::Held);
}

/// A server loses a connection. From the next request on, work that must not repeat stays away, and
/// one repeatable request at a time is let through as a trial.
#[test]
fn one_loss_leaves_only_trials() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(100), 0, SampleKind::ConnectionLost);
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
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    let mut trials = 0;
    for millis in (0..10_000).step_by(20) {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 5), 0, SampleKind::ConnectionLost);
            breaker.trial_ended();
        }
    }
    assert!((3..=6).contains(&trials), "{trials}");
}

/// A server recovers. Within some whole replies it takes everything again.
#[test]
fn whole_replies_bring_a_server_back() {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    let mut trials = 0;
    let mut millis = 0;
    while breaker.admit(at(millis), false) == BreakerVerdict::Held {
        if breaker.admit(at(millis), true) == BreakerVerdict::Trial {
            trials += 1;
            breaker.ended(at(millis + 300), 0, SampleKind::Served);
            breaker.trial_ended();
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
    breaker.ended(at(0), 0, SampleKind::ConnectionLost);
    assert_eq!(breaker.admit(at(5_000), false), BreakerVerdict::Held);
    assert_eq!(breaker.admit(at(12_000), false), BreakerVerdict::Admitted);
}

/// Runs of one kind of work that end well after some hundred milliseconds.
fn learn(breaker: &mut UpstreamBreaker, kind: u64, runs: u64) {
    for run in 0..runs {
        let begun = at(run * 400);
        breaker.started(begun, run, kind, Duration::from_secs(3));
        let took = Duration::from_millis(60 + run % 5 * 40);
        breaker.ended(begun + took, run, SampleKind::Served);
    }
}

/// A server takes requests and never answers. Nothing ends, so nothing but the age of its runs tells:
/// within a second work that must not repeat stays away, although no caller has given up yet.
#[test]
fn runs_that_stay_open_hold_work_off_before_they_end() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
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

/// The same switched off: the server gets work until callers have given up.
#[test]
fn without_their_ages_open_runs_tell_nothing() {
    let mut breaker = UpstreamBreaker::new(at(0)).count_ages(false);
    learn(&mut breaker, 1, 50);
    breaker.started(at(20_000), 100, 1, Duration::from_secs(3));
    assert!(!breaker.is_suspect(at(23_000)));
}

/// A run is late, and its server looks suspect; then it answers. The evidence of its age is gone with
/// it.
#[test]
fn a_late_reply_takes_back_what_its_age_said() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
    breaker.started(at(20_000), 100, 1, Duration::from_secs(3));
    let late = breaker.odds(at(21_500));
    breaker.ended(at(21_500), 100, SampleKind::Served);
    assert!(breaker.odds(at(21_500)) < late - 3.0, "{late}");
    assert!(!breaker.is_suspect(at(21_500)));
}

/// A caller gives up on a run that hangs. What its age said stays, or the server would be given the
/// next request as if nothing had been.
#[test]
fn a_run_that_its_caller_gave_up_counts_by_its_age() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
    for run in 100..102 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(3));
    }
    for run in 100..102 {
        breaker.ended(at(22_000), run, SampleKind::Cancelled);
    }
    assert!(breaker.is_suspect(at(22_001)));
}

/// Two kinds of work run on one server, one ten times longer than the other. An age that is usual for
/// the long one is none for the short one.
#[test]
fn kinds_of_work_have_run_times_of_their_own() {
    let mut breaker = UpstreamBreaker::new(at(0));
    for run in 0..60 {
        let begun = at(run * 300);
        for (kind, took) in [(1, 40), (2, 400)] {
            let id = run * 2 + kind;
            breaker.started(begun, id, kind, Duration::from_secs(3));
            breaker.ended(
                begun + at(took + run % 7 * took / 10),
                id,
                SampleKind::Served,
            );
        }
    }
    let begun = at(20_000);
    breaker.started(begun, 900, 2, Duration::from_secs(3));
    let long = breaker.odds(begun + at(450));
    breaker.ended(begun + at(460), 900, SampleKind::Served);
    breaker.started(at(21_000), 901, 1, Duration::from_secs(3));
    let short = breaker.odds(at(21_450));
    assert!(short > long + 1.0, "{short} against {long}");
}

/// A third of a service's servers fails at all times. One of which nothing was heard for a while is no
/// worse than the others, and takes work; where one in thirty fails, the same server is held off.
#[test]
fn where_many_fail_a_server_is_held_off_only_when_it_is_worse_than_usual() {
    let after_one_loss = |usual: f64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        breaker.set_usual(usual);
        breaker.ended(at(0), 0, SampleKind::ConnectionLost);
        breaker.is_suspect(at(6_500))
    };
    assert!(!after_one_loss(0.33));
    assert!(after_one_loss(0.03));
}

/// Faults that last a second teach a server's node that silence is over soon; faults that last a
/// minute, that it is not.
#[test]
fn the_length_of_faults_is_learned() {
    let return_after = |length: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        let mut now = 0;
        for _ in 0..8 {
            for _ in 0..4 {
                breaker.ended(at(now), 0, SampleKind::ConnectionLost);
                now += length / 4;
            }
            busy(&mut breaker, now, 150);
            now += 30_000;
        }
        breaker.ended(at(now), 0, SampleKind::ConnectionLost);
        let back = (0..600).find(|tenth| !breaker.is_suspect(at(now + tenth * 100)));
        back.expect("it is given work again within a minute")
    };
    let (short, long) = (return_after(1_000), return_after(40_000));
    assert!(
        short < 60 && long > 150,
        "{short} and {long} tenths of a second"
    );
}

/// A server sheds part of its requests. Nothing of them is lost, so it goes on taking work that must not
/// repeat.
#[test]
fn a_server_that_turns_work_away_is_no_suspect() {
    let mut breaker = UpstreamBreaker::new(at(0));
    busy(&mut breaker, 0, 10);
    for run in 0..6 {
        breaker.ended(at(2_100 + run * 10), 0, SampleKind::Refused);
    }
    assert_eq!(breaker.admit(at(2_200), false), BreakerVerdict::Admitted);
}

/// On a fleet whose servers fail by losing connections, one is nearly full and its runs last longer
/// than they used to. It is no suspect for that; where servers hang, the same age holds work off.
#[test]
fn where_faults_are_not_silent_ages_say_little() {
    let odds_of_late_run = |bad_end: SampleKind| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn(&mut breaker, 1, 60);
        for run in 100..112 {
            let begun = at(30_000 + run * 10);
            breaker.started(begun, run, 1, Duration::from_secs(3));
            breaker.ended(begun + at(2_000), run, bad_end);
        }
        busy(&mut breaker, 40_000, 100);
        breaker.started(at(70_000), 200, 1, Duration::from_secs(3));
        breaker.odds(at(70_600)) - breaker.odds(at(70_010))
    };
    let lost = odds_of_late_run(SampleKind::ConnectionLost);
    let hung = odds_of_late_run(SampleKind::Cancelled);
    assert!(lost < 2.5 && hung > 3.0, "{lost} and {hung} nats");
}

/// A server hangs for two seconds and is whole again. The runs that it left open end six seconds later,
/// with their callers' patience. Each counts once, when it has become late: three whole replies to
/// trials bring the server back long before.
#[test]
fn runs_left_open_by_a_fault_do_not_outlast_it() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
    for run in 100..108 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(6));
    }
    for millis in (20_000..22_500).step_by(100) {
        breaker.take_late(at(millis));
    }
    assert!(breaker.is_suspect(at(22_500)));
    for trial in 0..5 {
        let begun = at(22_500 + trial * 200);
        breaker.started(begun, 200 + trial, 1, Duration::from_secs(3));
        breaker.ended(begun + at(100), 200 + trial, SampleKind::Served);
    }
    assert!(
        !breaker.is_suspect(at(23_500)),
        "{}",
        breaker.odds(at(23_500))
    );
}

/// A run was counted as hung and then answers after all. Its reply takes back what it counted for.
#[test]
fn a_reply_takes_back_what_was_counted_for_its_run() {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
    for run in 100..102 {
        breaker.started(at(20_000), run, 1, Duration::from_secs(6));
    }
    assert_eq!(breaker.take_late(at(21_500)).len(), 2);
    assert!(breaker.take_late(at(21_600)).is_empty());
    for run in 100..102 {
        breaker.ended(at(21_700), run, SampleKind::Served);
    }
    assert!(!breaker.is_suspect(at(21_700)));
}

/// Work of a breaker in a service whose servers fail by turns: six seconds whole, three seconds in which
/// 17 of 20 requests are answered with an error within some ms. Nine requests a second come, half of them
/// repeatable; whole runs take 300 ms. Gives the errors that work which must not repeat met, by fault.
fn errors_met_by_fault(faults: u64) -> Vec<u64> {
    let mut breaker = UpstreamBreaker::new(at(0));
    breaker.set_usual(0.3);
    let mut met = Vec::new();
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
                breaker.trial_ended();
            }
        }
        met.push(errors);
    }
    met
}

/// Bookings are lost on a server that answers errors at once. Faults come again and again, and what they
/// look like must not come to be taken for what is usual: in each of them, the tenth as in the first, at
/// most two bookings are lost before work that must not repeat stays away.
#[test]
fn early_errors_hold_work_off_in_every_fault() {
    let met = errors_met_by_fault(10);
    assert!(met.iter().all(|errors| *errors <= 2), "{met:?}");
}

/// A server's requests fail with an error now and then, after their work. One error as late as that holds
/// nothing off; one that comes before any work could be done does.
#[test]
fn an_early_error_says_more_than_a_late_one() {
    let suspect_after = |took: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn(&mut breaker, 1, 50);
        breaker.started(at(21_000), 100, 1, Duration::from_secs(3));
        breaker.ended(at(21_000 + took), 100, SampleKind::Failed);
        breaker.is_suspect(at(21_000 + took))
    };
    assert!(suspect_after(2));
    assert!(!suspect_after(140));
}

/// A server fails by answering errors after their work, as those do whose disk or database fails. No
/// early error ever comes; a few faults teach its node that such errors are what its faults look like.
#[test]
fn what_faults_look_like_is_learned() {
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
        busy(&mut breaker, now, 20);
        now += 4_000;
        let before = breaker.odds(at(now));
        breaker.started(at(now), run + 1, 1, Duration::from_secs(3));
        breaker.ended(at(now + 300), run + 1, SampleKind::Failed);
        breaker.odds(at(now + 300)) - before
    };
    let (first, sixth) = (odds_after_one(0), odds_after_one(6));
    assert!(sixth > first + 0.5, "{first} and {sixth} nats");
}

/// An error that a failed call of the server's own explains says nothing of the server, and leaves no run
/// open either.
#[test]
fn an_explained_error_tells_nothing() {
    let odds_after = |explained: u64| {
        let mut breaker = UpstreamBreaker::new(at(0));
        learn(&mut breaker, 1, 50);
        for run in 0..explained {
            breaker.started(at(21_000), 100 + run, 1, Duration::from_secs(3));
            breaker.ended_unjudged(100 + run);
        }
        breaker.odds(at(23_000)).to_bits()
    };
    assert_eq!(odds_after(4), odds_after(0));
}

/// Time from the end of a fault to when work that must not repeat is admitted again, in milliseconds. The
/// fault lasts nearly six seconds, and each bad run takes so long; a repeatable request comes every 100 ms.
fn back_after(bad_run: u64) -> u64 {
    let mut breaker = UpstreamBreaker::new(at(0));
    learn(&mut breaker, 1, 50);
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
        breaker.trial_ended();
    }
    u64::MAX
}

/// Servers fail by turns for some seconds each, with errors within some ms. One that is whole again must
/// not stand idle for as long again: trials that fail at once cost nobody anything, so they come often.
#[test]
fn a_server_whose_errors_come_at_once_is_back_within_a_second() {
    let back = back_after(2);
    assert!(back <= 1_000, "{back} ms");
}
