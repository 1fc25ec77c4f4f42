//! Attribution of calls to the open runs of a backend server.
//!
//! Load: a server with eight slots runs look-ups, each of which makes two calls at its start, and
//! as many bookings, which make none. A fifth of the look-ups are repeats.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_policy::{CallRates, OpenWork};

const LOOK_UP: u64 = 1;
const BOOKING: u64 = 2;
/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 0.3;

// Guards against attributing calls evenly to all open runs. Half of the calls of repeated look-ups
// then went uncharged, and a small service that is called by a large one got a fifth more repeats
// than its retry budget allows.
#[test]
fn calls_of_repeated_runs_are_not_attributed_to_work_without_calls() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut rates = CallRates::default();
    let (mut charged, mut evenly_split) = (0.0, 0.0);
    for run in 0..600 {
        let repeat = run % 5 == 0;
        let others = (0..random.random_range(0..6)).map(|_| OpenWork {
            kind: if random.random() { LOOK_UP } else { BOOKING },
            repeat: false,
        });
        let own = OpenWork {
            kind: LOOK_UP,
            repeat,
        };
        let open: Vec<OpenWork> = others.chain([own]).collect();
        for _ in 0..2 {
            let share = rates.called(&open);
            if run >= 100 {
                charged += if repeat { share } else { 0.0 };
                evenly_split += if repeat {
                    1.0 / f64::from(open_count(&open))
                } else {
                    0.0
                };
            }
        }
        rates.ran(LOOK_UP, RUN_SECONDS);
        rates.ran(BOOKING, RUN_SECONDS);
    }
    assert!(
        charged > evenly_split * 1.25,
        "{charged} against {evenly_split} calls"
    );
}

fn open_count(open: &[OpenWork]) -> u8 {
    u8::try_from(open.len()).expect("a few")
}

#[test]
fn call_without_open_runs_is_not_attributed() {
    assert!(CallRates::default().called(&[]).abs() < f64::EPSILON);
}

// A kind of work counts as making calls until some of its runs made none, so that its repeats are
// bounded from the first one on.
#[test]
fn work_without_calls_is_recognised_after_some_runs() {
    let mut rates = CallRates::default();
    assert!(rates.makes_calls(BOOKING));
    let open = [LOOK_UP, LOOK_UP, BOOKING].map(|kind| OpenWork {
        kind,
        repeat: false,
    });
    for _ in 0..60 {
        for _ in 0..2 {
            rates.called(&open[..1]);
        }
        rates.called(&open);
        rates.ran(LOOK_UP, RUN_SECONDS);
        rates.ran(BOOKING, RUN_SECONDS);
    }
    assert!(rates.makes_calls(LOOK_UP) && !rates.makes_calls(BOOKING));
}
