//! Simulated backend server: slots, a short queue, noise, faults and cold starts.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::fault::ServerFault;

/// Sigma of the lognormal distribution of a request's work.
const WORK_SIGMA: f64 = 0.5;

/// Share of requests that need several times the usual work.
const HEAVY_SHARE: f64 = 0.01;

/// Smallest and largest factor on the work of a heavy request.
const HEAVY_FACTORS: (f64, f64) = (2.0, 6.0);

/// Mean seconds between two pauses of the whole process.
const PAUSE_INTERVAL: f64 = 60.0;

/// Shortest and longest pause in seconds.
const PAUSE_LENGTHS: (f64, f64) = (0.05, 0.4);

/// Mean seconds between two temporary slowdowns of all requests.
const SLOWDOWN_INTERVAL: f64 = 1_200.0;

/// Length of a temporary slowdown in seconds.
const SLOWDOWN_LENGTH: f64 = 2.0;

/// Factor on the service time during a temporary slowdown.
const SLOWDOWN_FACTOR: f64 = 2.0;

/// Largest relative deviation of an upstream's permanent speed from the mean.
const SPEED_SPREAD: f64 = 0.12;

/// Relative amplitude and period in seconds of a sine wave in the service time of all upstreams.
const SPEED_WAVE: (f64, f64) = (0.15, 240.0);

/// Share of requests that fail on a healthy upstream.
const BASE_ERROR_RATE: f64 = 0.001;

/// Factor on the service time right after a cold start; it falls linearly to 1 within
/// [`COLD_TIME`].
const COLD_FACTOR: f64 = 3.0;

/// Seconds until a cold backend server is warm.
const COLD_TIME: f64 = 10.0;

/// Outcome of a request in a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceEnd {
    /// The server sent a complete reply.
    Served,
    /// The server returned an error.
    Failed,
    /// The reply was truncated or belonged to another request.
    Wrong,
    /// The server never replies.
    Never,
}

/// Draws the work of one request, as a multiple of the mean.
pub fn draw_work(rng: &mut SmallRng) -> f64 {
    let mean_shift = -WORK_SIGMA * WORK_SIGMA / 2.0;
    let body = LogNormal::new(mean_shift, WORK_SIGMA).map_or(1.0, |body| body.sample(rng));
    if rng.random_bool(HEAVY_SHARE) {
        body * rng.random_range(HEAVY_FACTORS.0..HEAVY_FACTORS.1)
    } else {
        body
    }
}

/// Draws an exponentially distributed interval in seconds.
pub fn draw_gap(rng: &mut SmallRng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).map_or(mean, |gap| gap.sample(rng))
}

/// Backend server with its state.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Attempts that hold a slot, as indices into the simulation's attempt table.
    pub running: Vec<usize>,
    /// Attempts that wait for a slot, in order of arrival.
    pub queue: VecDeque<usize>,
    /// Whether the process runs.
    pub up: bool,
    /// Time of the last cold start in seconds; `None` when there was none.
    pub cold_since: Option<f64>,
    speed: f64,
    /// Start and length of the current or next pause, in seconds.
    pause: (f64, f64),
    /// Start of the current or next temporary slowdown, in seconds.
    slowdown_start: f64,
}

impl BackendServer {
    /// Creates a running, warm server.
    pub fn new(rng: &mut SmallRng) -> Self {
        Self {
            running: Vec::new(),
            queue: VecDeque::new(),
            up: true,
            cold_since: None,
            speed: 1.0 + rng.random_range(-SPEED_SPREAD..SPEED_SPREAD),
            pause: (draw_gap(rng, PAUSE_INTERVAL), 0.1),
            slowdown_start: draw_gap(rng, SLOWDOWN_INTERVAL),
        }
    }

    /// Draws the service time and the outcome of an attempt that starts now. `fault` is the current
    /// fault with its progress from 0 to 1.
    pub fn start(
        &mut self,
        now: Duration,
        mean: f64,
        work: f64,
        fault: Option<(ServerFault, f64)>,
        rng: &mut SmallRng,
    ) -> (Duration, ServiceEnd) {
        let at = now.as_secs_f64();
        let mut factor = self.speed * self.noise_factor(at, rng) * self.cold_factor(at);
        let mut end = ServiceEnd::Served;
        if rng.random_bool(BASE_ERROR_RATE) {
            end = ServiceEnd::Failed;
        }
        match fault {
            Some((
                ServerFault::Slow {
                    factor: slower,
                    share,
                },
                _,
            )) if rng.random_bool(share) => {
                factor *= slower;
            }
            Some((ServerFault::Worsening(worst), progress)) => {
                factor *= 1.0 + (worst - 1.0) * progress;
            }
            Some((ServerFault::Failing(rate), _)) if rng.random_bool(rate) => {
                end = ServiceEnd::Failed;
            }
            Some((ServerFault::Wrong(rate), _)) if rng.random_bool(rate) => {
                end = ServiceEnd::Wrong;
            }
            Some((ServerFault::Silent, _)) => end = ServiceEnd::Never,
            _ => {}
        }
        let mut length = mean * work * factor;
        length += self.pause_within(at, at + length, rng);
        (Duration::from_secs_f64(length), end)
    }

    fn noise_factor(&mut self, at: f64, rng: &mut SmallRng) -> f64 {
        if at > self.slowdown_start + SLOWDOWN_LENGTH {
            self.slowdown_start = at + draw_gap(rng, SLOWDOWN_INTERVAL);
        }
        let slowdown = if at >= self.slowdown_start {
            SLOWDOWN_FACTOR
        } else {
            1.0
        };
        let wave = 1.0 + SPEED_WAVE.0 * (at / SPEED_WAVE.1 * std::f64::consts::TAU).sin();
        slowdown * wave
    }

    fn cold_factor(&self, at: f64) -> f64 {
        self.cold_since.map_or(1.0, |since| {
            let left = 1.0 - ((at - since) / COLD_TIME).clamp(0.0, 1.0);
            1.0 + (COLD_FACTOR - 1.0) * left
        })
    }

    /// Returns the seconds of a process pause that overlap with this service interval.
    fn pause_within(&mut self, from: f64, to: f64, rng: &mut SmallRng) -> f64 {
        while from > self.pause.0 + self.pause.1 {
            let begin = self.pause.0 + self.pause.1 + draw_gap(rng, PAUSE_INTERVAL);
            let length = rng.random_range(PAUSE_LENGTHS.0..PAUSE_LENGTHS.1);
            self.pause = (begin, length);
        }
        let (begin, length) = self.pause;
        if begin >= to {
            return 0.0;
        }
        begin + length - begin.max(from)
    }
}
