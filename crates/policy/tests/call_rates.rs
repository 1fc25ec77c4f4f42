//! Which runs make calls, learned from when calls begin.
//!
//! Load: a server with eight slots runs look-ups, each of which makes two calls at its start, and as many
//! bookings, which make none. A fifth of the look-ups are repeats.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamorelink_policy::{CallRates, OpenWork};

const LOOK_UP: u64 = 1;
const BOOKING: u64 = 2;
/// Time of a run, in seconds.
const RUN_SECONDS: f64 = 0.3;

// Repeats of a large service call a small one. Put down to all runs alike, half of their calls were
// charged to nobody, and the small service went a fifth beyond its bound on repeats.
#[test]
fn calls_of_repeated_runs_are_not_put_down_to_work_that_calls_nobody() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut rates = CallRates::default();
    let (mut charged, mut alike) = (0.0, 0.0);
    for begun in 0..600 {
        let repeat = begun % 5 == 0;
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
            if begun >= 100 {
                charged += if repeat { share } else { 0.0 };
                alike += if repeat {
                    1.0 / f64::from(open_count(&open))
                } else {
                    0.0
                };
            }
        }
        rates.ran(LOOK_UP, RUN_SECONDS);
        rates.ran(BOOKING, RUN_SECONDS);
    }
    assert!(charged > alike * 1.25, "{charged} against {alike} calls");
}

fn open_count(open: &[OpenWork]) -> u8 {
    u8::try_from(open.len()).expect("a few")
}

#[test]
fn without_open_runs_a_call_is_nobodys() {
    assert!(CallRates::default().called(&[]).abs() < f64::EPSILON);
}

// A booking runs beside look-ups that call, and calls nobody itself. Some runs tell so; before any, it is
// taken to call, so that its repeats are bounded from the first on.
#[test]
fn work_that_calls_nobody_is_known_after_some_runs() {
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
