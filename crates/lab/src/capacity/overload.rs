//! Memory, traffic and processor time of overload control at one node.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use sycamorelink_core::{
    CustomerName, DomainName, InstanceId, NodeId, NodeIncarnation, RefusalCode, RequestId,
    ServiceName, UpstreamId,
};
use sycamorelink_limits::{
    AdmissionGate, BudgetPart, BudgetSettings, CallerQueue, DeadlineGate, GateCommand,
    GateDecision, JoinDecision, LoanCandidate, OverloadSettings, RefusalWindow, RepeatBooks,
    WaitReason, WaitTerms, WorkClass, WorkId,
};
use sycamorelink_policy::{
    CapacityRecord, CapacityTable, PoolSettings, ServicePool, SoonestTerms, UpstreamFacts,
    UpstreamPhase, select_freshest,
};

use super::components::measure_points;
use super::fit::{MeasuredPoint, to_f64};
use super::memory::{measure_growth, thread_time};

/// Upstreams per service at the target scale.
const SERVICE_UPSTREAMS: usize = 22;
/// Number of upstreams among which one is selected, the maximum that a node compares.
const CANDIDATES: usize = 64;
/// Number of slots of one backend server.
const SLOTS: u32 = 15;
/// Number of waiting requests in a full queue.
const WAITING: u32 = 400;
/// Mean run time of a backend server.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Objective and deadline with which all work of a full queue is in time.
const OBJECTIVE: Duration = Duration::from_mins(1);
const DEADLINE: Duration = Duration::from_secs(90);
/// Numbers of servers whose record is known, for which the size of the reports is measured.
const REPORT_COUNTS: [(usize, &str); 3] = [
    (22, "reports sent, 22 servers known"),
    (1_100, "reports sent, 1,100 known"),
    (110_000, "reports sent, 110,000 known"),
];
/// Mean number of receivers of one report: two of the own domain, and one of another every second
/// time.
const RECEIVERS: f64 = 2.5;
/// Bytes of the variant number, of the service name's length and of the number of records in one
/// message.
const MESSAGE_BYTES: usize = 1 + 1 + 3;
/// Id of the first work that is offered to a full gate.
const FIRST_OFFER: u64 = 1_000;
/// Number of copies over which the memory of a state is averaged.
const COPIES: usize = 100;
/// Number of copies of a state of few kilobytes. With fewer, resident memory, which grows by whole
/// pages, does not show it.
const SMALL_COPIES: usize = 4_000;
/// Time of all measurements, by the node's clock.
const NOW: Duration = Duration::from_secs(100);
/// Requests per second of a backend server in the measurement of its loan books.
const SERVER_RATE: u32 = 15;
/// Number of servers that a borrower knows.
const LENDERS: u64 = 64;
/// Number of accounts with refusals, more than a window counts by name.
const REFUSED_ACCOUNTS: usize = 1_000;

/// One measured figure that is not fitted against a count.
#[derive(Clone, Debug, Serialize)]
pub struct OverloadFigure {
    /// Name of the measured quantity, with the state for which it was measured.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Measured value.
    pub value: f64,
}

/// Measures the memory of the capacity tables of one node, in bytes, against the number of servers
/// whose record is known. Each service has 22 servers.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read.
pub fn measure_capacity_tables(counts: &[usize]) -> Result<Vec<MeasuredPoint>> {
    measure_points(counts, tables_of)
}

/// Measures the figures that are not fitted against a count. Each decision is repeated `repetitions`
/// times.
///
/// # Errors
///
/// Returns an error when resident memory or processor time cannot be read, or when a queue does not
/// reach the size for which it is measured.
pub fn measure_figures(repetitions: u32) -> Result<Vec<OverloadFigure>> {
    let mut figures = measure_reports();
    figures.extend(measure_decisions(repetitions)?);
    figures.extend(measure_states()?);
    Ok(figures)
}

/// Measures the bytes per second of the capacity reports that one node sends. Frames and encryption
/// of the connection are not included.
fn measure_reports() -> Vec<OverloadFigure> {
    let settings = OverloadSettings::default();
    let limit = usize::try_from(settings.report_size).unwrap_or(usize::MAX);
    let figures = REPORT_COUNTS.iter().map(|(count, name)| {
        let report = select_freshest(NOW, &tables_of(*count), limit);
        let bytes: usize = report.iter().map(message_bytes).sum();
        let interval = settings.report_interval.as_secs_f64();
        OverloadFigure {
            name,
            unit: "B/s",
            value: to_f64(bytes) * RECEIVERS / interval,
        }
    });
    figures.collect()
}

fn message_bytes((service, records): (&ServiceName, &Vec<CapacityRecord>)) -> usize {
    let records = records.iter().map(CapacityRecord::encoded_size);
    MESSAGE_BYTES + service.as_str().len() + records.sum::<usize>()
}

/// Returns tables with this many records, all measured within the last half second.
fn tables_of(count: usize) -> BTreeMap<ServiceName, CapacityTable> {
    let mut tables = BTreeMap::new();
    for number in 0..count {
        let service = ServiceName::new(&format!("service-{:05}", number / SERVICE_UPSTREAMS));
        let own = NodeId(u64::MAX);
        let table = tables.entry(service);
        let table = table.or_insert_with(|| CapacityTable::new(own));
        // The record is valid and of another node, so it is stored.
        let stored = table.merge(NOW, record_of(number));
        debug_assert_eq!(stored, Ok(true));
    }
    tables
}

fn record_of(number: usize) -> CapacityRecord {
    CapacityRecord {
        id: upstream(number),
        incarnation: NodeIncarnation(1_790_000_000_000),
        sequence: 100_000,
        in_use: 15,
        limit: 15,
        queued: 40,
        expected_wait_ms: 2_500,
        mean_run_ms: 1_000,
        failing: 3,
        repeats: 2,
        relative_run: 0,
        age_ms: u32::try_from(number % 500).unwrap_or(0),
    }
}

/// Returns the id of an upstream. Node ids are hashes of names, which use all 64 bits.
fn upstream(number: usize) -> UpstreamId {
    let node = NodeId((number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    UpstreamId { node, slot: 0 }
}

fn measure_decisions(repetitions: u32) -> Result<Vec<OverloadFigure>> {
    let mut pool = full_pool();
    let mut table = CapacityTable::new(NodeId(u64::MAX));
    for number in 0..CANDIDATES {
        table.merge(NOW, record_of(number))?;
    }
    let terms = SoonestTerms {
        kind: 1,
        objective_left: Duration::from_secs(4),
        is_repeat: false,
    };
    let select = time_of(repetitions, |_| pool.pick_soonest(NOW, &table, &[], &terms))?;
    let forecast = time_of(repetitions, |_| pool.forecast(NOW, &table, &[]))?;
    let mut gate = full_gate()?;
    let mut out = Vec::new();
    let declined = time_of(repetitions, |number| {
        out.clear();
        let work = WorkId(FIRST_OFFER + u64::from(number));
        gate.offer(NOW, work, work_class(0, 0), &mut out)
    })?;
    let displacing = time_of(repetitions, |number| {
        out.clear();
        let work = WorkId(FIRST_OFFER + u64::from(number));
        gate.offer(NOW, work, work_class(9, number), &mut out)
    })?;
    let gate_tick = time_of(repetitions, |_| {
        out.clear();
        gate.tick(NOW, &mut out);
    })?;
    let waiting = gate.load(NOW).queued;
    ensure!(waiting == WAITING, "{waiting} wait after the measurement");
    let mut queue = full_caller_queue()?;
    let caller_tick = time_of(repetitions, |_| tick_callers(&mut queue))?;
    ensure!(queue.len() == WAITING as usize, "{} wait", queue.len());
    Ok(vec![
        micros("selection, 64 candidates", select),
        micros("forecast, 64 candidates", forecast),
        micros("offer refused, 400 waiting", declined),
        micros("offer displacing, 400 waiting", displacing),
        micros("gate tick, 400 waiting", gate_tick),
        micros("caller queue tick, 400 waiting", caller_tick),
    ])
}

fn measure_states() -> Result<Vec<OverloadFigure>> {
    // All states are kept until the end, so that none takes the memory that another one freed.
    let (gates, gate) = bytes_of(COPIES, full_gate)?;
    let (queues, callers) = bytes_of(COPIES, full_caller_queue)?;
    let (all_books, books) = bytes_of(SMALL_COPIES, busy_books)?;
    let (windows, refusals) = bytes_of(COPIES, || Ok(full_refusals()))?;
    drop((gates, queues, all_books, windows));
    Ok(vec![
        kilobytes("full gate, 400 waiting", gate),
        kilobytes("full caller queue, 400 waiting", callers),
        kilobytes("loan books of one server", books),
        kilobytes("refusals of one service, 1 min", refusals),
    ])
}

const fn micros(name: &'static str, value: f64) -> OverloadFigure {
    OverloadFigure {
        name,
        unit: "us",
        value,
    }
}

fn kilobytes(name: &'static str, bytes: f64) -> OverloadFigure {
    OverloadFigure {
        name,
        unit: "KB",
        value: bytes / 1e3,
    }
}

/// Returns the mean processor time of one call, in microseconds.
fn time_of<T, F>(repetitions: u32, mut call: F) -> Result<f64>
where
    F: FnMut(u32) -> T,
{
    let start = thread_time()?;
    for number in 0..repetitions {
        black_box(call(number));
    }
    let took = thread_time()?.saturating_sub(start);
    Ok(took.as_secs_f64() * 1e6 / f64::from(repetitions.max(1)))
}

/// Builds this many copies of a state and returns them with the mean memory of one, in bytes.
fn bytes_of<T, F>(copies: usize, build: F) -> Result<(Vec<T>, f64)>
where
    F: Fn() -> Result<T>,
{
    let (states, bytes) = measure_growth(|| {
        let states = (0..copies).map(|_| build());
        states.collect::<Result<Vec<T>>>()
    })?;
    Ok((states?, to_f64(usize::try_from(bytes)?) / to_f64(copies)))
}

fn full_pool() -> ServicePool {
    let mut pool = ServicePool::new(PoolSettings::default(), 1);
    for number in 0..CANDIDATES {
        let facts = UpstreamFacts {
            slots: 15,
            domain: DomainName::new(&format!("domain-{}", number % 4)),
            phase: UpstreamPhase::Ready,
        };
        pool.upsert(NOW, upstream(number), &facts);
    }
    pool
}

/// Returns work that meets its objective behind a full queue. `number` moves its latest start
/// forward by as many microseconds.
fn work_class(priority: u8, number: u32) -> WorkClass {
    let earlier = Duration::from_micros(u64::from(number));
    WorkClass {
        kind: 1,
        objective: (NOW + OBJECTIVE).checked_sub(earlier),
        account: Some(CustomerName::new("account-00001")),
        ..WorkClass::new(CustomerName::new("fleet"), priority, NOW + DEADLINE)
    }
}

fn full_gate() -> Result<DeadlineGate> {
    let mut gate = DeadlineGate::builder(NOW)
        .slots(SLOTS)
        .queue(WAITING)
        .first_service_time(RUN_TIME)
        .warm_up(Duration::ZERO)
        .build();
    let mut out: Vec<GateCommand> = Vec::new();
    for number in 0..SLOTS + WAITING {
        let work = WorkId(u64::from(number));
        let decision = gate.offer(NOW, work, work_class(0, 0), &mut out);
        let expected = if number < SLOTS {
            GateDecision::Run
        } else {
            GateDecision::Queued
        };
        ensure!(decision == expected, "offer {number}: {decision:?}");
    }
    Ok(gate)
}

/// Returns a queue with requests for four services.
fn full_caller_queue() -> Result<CallerQueue> {
    let mut queue = CallerQueue::new(WAITING);
    for number in 0..WAITING {
        let service = ServiceName::new(&format!("service-{:05}", number % 4));
        let terms = WaitTerms::new(service, WaitReason::NoCapacity, NOW + DEADLINE)
            .objective(Some(NOW + OBJECTIVE))
            .priority(u8::try_from(number % 10)?)
            .run_time(RUN_TIME);
        let id = RequestId(u128::from(number));
        let decision = queue.join(NOW, NOW, id, terms);
        ensure!(
            matches!(decision, JoinDecision::Waits { .. }),
            "request {number}: {decision:?}"
        );
    }
    Ok(queue)
}

/// Makes the decisions of one tick of which no request is released or expires.
fn tick_callers(queue: &mut CallerQueue) {
    for service in queue.services() {
        black_box(queue.release(NOW, &service, 0, |_| true));
    }
    black_box(queue.expire(NOW));
    black_box(queue.services());
}

/// Returns the books of a server after ten seconds of its full load, with open asks and borrowed
/// repeats.
fn busy_books() -> Result<RepeatBooks> {
    let all = BudgetSettings {
        minimum_per_second: 0,
        ..BudgetSettings::default()
    };
    let mut books = RepeatBooks::new(&all, &all);
    let part = BudgetPart {
        slack: 2,
        ..BudgetPart::default()
    };
    books.set_parts(part, part);
    let mut random = SmallRng::seed_from_u64(1);
    let candidates: Vec<LoanCandidate> = (0..LENDERS)
        .map(|node| LoanCandidate {
            instance: InstanceId {
                node: NodeId(node),
                incarnation: NodeIncarnation(1),
            },
            balance: Some(5),
        })
        .collect();
    let mut next_ask = 0;
    let mut asked = 0;
    for number in 0..10 * SERVER_RATE {
        let now = NOW + Duration::from_secs(1) / SERVER_RATE * number;
        books.deposit(now, true);
        books.record_request(now, true);
        books.withdraw(now, true);
        let asks = books.asks(now, &candidates, &mut next_ask, &mut random);
        asked += asks.len();
        for ask in asks {
            let repeats = ask.wanted.min(2);
            books
                .accept(now, ask.lender, ask.ask, repeats)
                .context("a grant to an open ask")?;
        }
    }
    ensure!(asked > 0, "the server never lacked repeats");
    Ok(books)
}

/// Returns a window with refusals of as many accounts as it counts by name, over its whole length.
fn full_refusals() -> RefusalWindow {
    let accounts: Vec<CustomerName> = (0..REFUSED_ACCOUNTS)
        .map(|number| CustomerName::new(&format!("account-{number:05}")))
        .collect();
    let mut window = RefusalWindow::default();
    for second in 0..RefusalWindow::LENGTH.as_secs() {
        let now = NOW + Duration::from_secs(second);
        for account in &accounts {
            window.record(now, RefusalCode::Overloaded, Some(account));
        }
    }
    window
}
