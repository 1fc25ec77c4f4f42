//! Random fault sessions over whole fleets, reproducible from a seed.

use std::collections::BTreeMap;

use rand::Rng;
use sycamorelink_core::{RequestId, RunState};

use sycamorelink_guard::KeyTime;

use crate::fleet::{BackendBehaviour, CallerSend, FakeFleet, LinkFaults, ms, test_settings};

/// Runs one random session and returns the fleet at its end.
pub fn session(seed: u64, steps: usize, tracing: bool) -> FakeFleet {
    let nodes = [5, 6, 7, 8, 9, 3][usize::try_from(seed % 6).unwrap_or_default()];
    let mut settings = test_settings();
    if seed % 7 == 3 {
        settings.max_keys = 12;
    }
    let mut fleet = FakeFleet::new(nodes, 3, settings, seed);
    fleet.tracing = tracing;
    fleet.wall_spread = 800;
    fleet.run_for(ms(4_000));
    fleet.faults = LinkFaults {
        drop: 0.05,
        repeat: 0.05,
        delay: (1, 40),
    };
    fleet.backend = BackendBehaviour {
        service: (5, 1_500),
        crash: 0.03,
        refuse: 0.10,
        reply_bytes: 24,
    };
    let mut caller = RandomCaller::default();
    for _ in 0..steps {
        apply_random_step(&mut fleet, &mut caller);
        let pause = fleet.rng.random_range(1..=400);
        fleet.run_for(ms(pause));
        if !fleet.oracle.violations.is_empty() {
            return fleet;
        }
    }
    heal(&mut fleet);
    check_fresh_keys(&mut fleet);
    fleet
}

#[derive(Default)]
struct RandomCaller {
    sent: Vec<CallerSend>,
}

impl RandomCaller {
    fn send(&mut self, fleet: &mut FakeFleet) {
        let again = !self.sent.is_empty() && fleet.rng.random_bool(0.55);
        let mut send = if again {
            let old = fleet.rng.random_bool(0.1);
            let recent = if old {
                0
            } else {
                self.sent.len().saturating_sub(8)
            };
            let pick = fleet.rng.random_range(recent..self.sent.len());
            self.sent[pick].clone()
        } else {
            let hash = fleet.rng.random();
            let mut key = fleet.fresh_key(hash);
            if fleet.rng.random_bool(0.1) {
                key.time = KeyTime::Window(60_000);
            }
            CallerSend {
                request: RequestId(0),
                key,
                body: 1,
                executor: fleet.instance(0),
                timeout: ms(0),
            }
        };
        send.request = RequestId(fleet.rng.random());
        send.executor = fleet.any_executor();
        send.timeout = ms(fleet.rng.random_range(300..=6_000));
        if fleet.rng.random_bool(0.02) {
            send.body = 2;
        }
        let node = fleet.rng.random_range(0..fleet.process_at.len());
        if fleet.send(node, &send) {
            send.body = 1;
            self.sent.push(send);
        }
    }
}

fn apply_random_step(fleet: &mut FakeFleet, caller: &mut RandomCaller) {
    let node = fleet.rng.random_range(0..fleet.process_at.len());
    let other = fleet.rng.random_range(0..fleet.process_at.len());
    let process = fleet.process_at[node];
    let alive = fleet.processes[process].alive;
    let frozen = fleet.processes[process].frozen;
    match fleet.rng.random_range(0..100) {
        0..=59 => {
            for _ in 0..fleet.rng.random_range(1..=3) {
                caller.send(fleet);
            }
        }
        60..=61 if alive => fleet.kill(node),
        62 if fleet.rng.random_bool(0.5) => replace_all_but(fleet, node),
        63 => {
            for victim in [node, other] {
                if fleet.processes[fleet.process_at[victim]].alive {
                    fleet.kill(victim);
                }
            }
        }
        64..=70 if !alive || frozen => fleet.replace(node),
        71..=74 if alive && !frozen => fleet.freeze(node),
        75..=81 => {
            let processes = fleet.processes.len();
            for frozen in 0..processes {
                if fleet.rng.random_bool(0.5) {
                    fleet.thaw(frozen);
                }
            }
        }
        82..=83 if node != other => {
            fleet.note(&format!("cut n{node} to n{other}"));
            fleet.cuts.insert((node, other));
            if fleet.rng.random_bool(0.5) {
                let listener = fleet.process_at[other];
                fleet.report_down(listener, process, ms(700));
            }
        }
        84..=85 => partition(fleet),
        86..=90 => {
            fleet.note("cuts healed");
            fleet.cuts.clear();
            fleet.log_cuts.clear();
            for subject in 0..fleet.process_at.len() {
                let process = fleet.process_at[subject];
                if fleet.processes[process].alive && !fleet.processes[process].frozen {
                    fleet.report_up_to_all(process);
                }
            }
        }
        91..=93 => fleet.set_log(false),
        94..=95 => fleet.set_log(true),
        96..=97 if alive && !frozen => fleet.drain(node),
        98..=99 if fleet.processes[process].drained_at.is_some() && alive => {
            fleet.kill(node);
            fleet.replace(node);
        }
        _ => {}
    }
}

/// Replaces every node but one at once, without state.
fn replace_all_but(fleet: &mut FakeFleet, kept: usize) {
    for node in (0..fleet.process_at.len()).filter(|node| *node != kept) {
        fleet.kill(node);
        fleet.replace(node);
    }
}

/// Partitions the fleet in two. One side may lose its connection to the log as well.
fn partition(fleet: &mut FakeFleet) {
    let nodes = fleet.process_at.len();
    let side: Vec<bool> = (0..nodes).map(|_| fleet.rng.random_bool(0.4)).collect();
    fleet.note(&format!("split {side:?}"));
    let cut_log = fleet.rng.random_bool(0.5);
    for left in (0..nodes).filter(|node| side[*node]) {
        if cut_log {
            fleet.log_cuts.insert(left);
        }
        for right in (0..nodes).filter(|node| !side[*node]) {
            fleet.cuts.extend([(left, right), (right, left)]);
            let processes = (fleet.process_at[left], fleet.process_at[right]);
            let delay = ms(fleet.rng.random_range(300..=900));
            fleet.report_down(processes.0, processes.1, delay);
            fleet.report_down(processes.1, processes.0, delay);
        }
    }
}

/// Ends all faults and waits until the fleet has recovered.
fn heal(fleet: &mut FakeFleet) {
    fleet.faults = LinkFaults::default();
    fleet.backend.refuse = 0.0;
    fleet.backend.crash = 0.0;
    fleet.backend.service = (5, 20);
    fleet.cuts.clear();
    fleet.log_cuts.clear();
    fleet.set_log(true);
    for process in 0..fleet.processes.len() {
        fleet.thaw(process);
    }
    for node in 0..fleet.process_at.len() {
        let process = fleet.process_at[node];
        if fleet.processes[process].alive && fleet.processes[process].drained_at.is_none() {
            fleet.report_up_to_all(process);
        } else {
            fleet.kill(node);
            fleet.replace(node);
        }
    }
    fleet.run_for(ms(20_000));
}

/// Checks that requests with fresh keys run at every node.
fn check_fresh_keys(fleet: &mut FakeFleet) {
    let mut requests = Vec::new();
    for count in 0..24 {
        let send = CallerSend {
            request: RequestId(fleet.rng.random()),
            key: fleet.fresh_key(fleet.rng.clone().random()),
            body: 1,
            executor: fleet.any_executor(),
            timeout: ms(4_000),
        };
        let _skip: u64 = fleet.rng.random();
        let node = count % fleet.process_at.len();
        if fleet.send(node, &send) {
            requests.push(send.request);
        }
        fleet.run_for(ms(50));
    }
    fleet.run_for(ms(5_000));
    for request in requests {
        let ran = fleet.oracle.answer_of(request).map(|answer| answer.run);
        if ran != Some(RunState::Ran) {
            let text = fleet.oracle.answer_text(request);
            let line = format!("healed fleet refuses a fresh key: {request} {text}");
            fleet.oracle.violations.push(line);
        }
    }
}

/// Searches by bisection for a shorter prefix of the steps that still fails.
fn shrink(seed: u64, steps: usize) -> usize {
    let (mut good, mut bad) = (0, steps);
    while bad - good > 1 {
        let middle = good.midpoint(bad);
        if session(seed, middle, false).oracle.violations.is_empty() {
            good = middle;
        } else {
            bad = middle;
        }
    }
    bad
}

fn env_setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).unwrap_or_default();
    text.parse().unwrap_or(default)
}

/// Callers resend while daemons are killed, replaced, frozen, thawed and drained, while links lose,
/// duplicate and reorder packets or are cut one way, and while the log fails and recovers. No key
/// may run twice, no answer may be wrong or late, and afterwards fresh keys must run.
///
/// `GUARD_SEED`, `GUARD_SEEDS` and `GUARD_STEPS` extend the search. On failure, the trace of the
/// shortened session is written to `guard-trace.txt` in the temporary directory of the target.
#[test]
fn random_faults_never_run_a_key_twice() {
    let first = env_setting("GUARD_SEED", 1);
    let seeds = env_setting("GUARD_SEEDS", 40);
    let steps = usize::try_from(env_setting("GUARD_STEPS", 120)).unwrap_or(120);
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    let mut reached: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let fleet = session(seed, steps, false);
        for send in fleet.oracle.sends.values() {
            let text = send.answer.as_ref().map_or("none", |answer| &answer.text);
            *answers.entry(text.to_owned()).or_default() += 1;
        }
        for (kind, count) in &fleet.oracle.reached {
            *reached.entry(kind).or_default() += count;
        }
        if let Some(line) = fleet.oracle.violations.first() {
            println!("seed {seed}: {line}");
            failed.push(seed);
        }
    }
    println!("{seeds} seeds of {steps} steps: {answers:#?} {reached:#?}");
    if let Some(seed) = failed.first() {
        let short = shrink(*seed, steps);
        let fleet = session(*seed, short, true);
        let trace = fleet.trace.join("\n");
        std::fs::write(
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("guard-trace.txt"),
            trace,
        )
        .unwrap_or_default();
        println!(
            "seed {seed} at {short} steps: {:?}",
            fleet.oracle.violations
        );
    }
    assert_eq!(failed, Vec::<u64>::new());
}
