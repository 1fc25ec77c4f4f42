//! Execution of the situations and rendering of the table.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;
use sycamorelink_policy::PoolSettings;

use super::chooser_kind::ChooserKind;
use super::fault::{SITUATIONS, SituationPlan};
use super::figures::{RunFigures, TableRow, expects_detection};
use super::services::{BROKER, DOCUMENTS, ORDERS, SURVEY, ServiceShape};
use super::simulation::FleetSimulation;

/// Rows to run and their parameters.
#[derive(Clone, Debug)]
pub struct TableOptions {
    /// Runs of each row of the default pool; the other choosers get a quarter.
    pub runs: usize,
    /// Simulated services.
    pub services: Vec<ServiceShape>,
    /// Upstream selection algorithms to compare.
    pub choosers: Vec<ChooserKind>,
    /// Names of the situations to run; empty for all.
    pub situations: Vec<String>,
    /// Number of worker threads; it does not affect the result.
    pub threads: usize,
    /// Seed of the first run; each further run adds one.
    pub seed: u64,
    /// Settings of the default pool, [`ChooserKind::Pool`].
    pub settings: PoolSettings,
}

/// Situations of the quick table.
const QUICK_SITUATIONS: [&str; 6] = [
    "one-slow-10x",
    "one-failing-20",
    "all-failing-50",
    "observer-cut",
    "silent-connections",
    "crash-request",
];

impl TableOptions {
    /// Returns the options of the quick table for continuous integration.
    #[must_use]
    pub fn quick() -> Self {
        Self {
            runs: 1,
            services: vec![ORDERS],
            choosers: vec![ChooserKind::Pool, ChooserKind::Consecutive],
            situations: QUICK_SITUATIONS.map(str::to_owned).to_vec(),
            threads: 2,
            seed: 1,
            settings: PoolSettings::default(),
        }
    }

    /// Returns the options of the full table in the documentation.
    #[must_use]
    pub fn full() -> Self {
        Self {
            runs: 100,
            services: vec![ORDERS, DOCUMENTS, BROKER, SURVEY],
            choosers: ChooserKind::ALL.to_vec(),
            situations: Vec::new(),
            threads: 3,
            seed: 1,
            settings: PoolSettings::default(),
        }
    }
}

/// Results of all situations.
#[derive(Clone, Debug, Serialize)]
pub struct SituationTable {
    /// Rows, in order of service, situation and chooser.
    pub rows: Vec<TableRow>,
}

/// Parameters of one row.
#[derive(Clone, Copy, Debug)]
struct RowJob {
    service: ServiceShape,
    plan: SituationPlan,
    chooser: ChooserKind,
}

/// Runs the situations. The result depends on the options but not on the number of threads.
#[must_use]
pub fn run_table(options: &TableOptions) -> SituationTable {
    let jobs = list_jobs(options);
    let next = AtomicUsize::new(0);
    let rows: Mutex<Vec<(usize, TableRow)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else {
                        break;
                    };
                    let row = run_row(job, options);
                    if let Ok(mut rows) = rows.lock() {
                        rows.push((index, row));
                    }
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_default();
    rows.sort_by_key(|(index, _)| *index);
    SituationTable {
        rows: rows.into_iter().map(|(_, row)| row).collect(),
    }
}

fn list_jobs(options: &TableOptions) -> Vec<RowJob> {
    let mut jobs = Vec::new();
    for &service in &options.services {
        for plan in SITUATIONS {
            let listed = options.situations.iter().any(|name| name == plan.name);
            if !listed && !options.situations.is_empty() {
                continue;
            }
            for &chooser in &options.choosers {
                jobs.push(RowJob {
                    service,
                    plan,
                    chooser,
                });
            }
        }
    }
    jobs
}

fn run_row(job: &RowJob, options: &TableOptions) -> TableRow {
    let wanted = job.chooser.runs(options.runs);
    let runs = job.plan.runs(wanted);
    let figures: Vec<RunFigures> = (0..runs)
        .map(|run| run_once(job, options.seed + run as u64, &options.settings))
        .collect();
    TableRow::combine(
        job.plan.name,
        job.service.name,
        job.chooser.name(),
        &figures,
    )
}

fn run_once(job: &RowJob, seed: u64, settings: &PoolSettings) -> RunFigures {
    let choosers = (0..job.service.upstreams)
        .map(|node| job.chooser.build(settings, seed * 1_000 + node as u64))
        .collect();
    let simulation = FleetSimulation::new(job.service, job.plan, choosers, seed);
    let faulty = if expects_detection(&job.plan.event) {
        simulation.affected_upstreams()
    } else {
        Vec::new()
    };
    let meter = simulation.run();
    RunFigures::from_run(&job.service, &job.plan, &meter, &faulty)
}

impl SituationTable {
    /// Renders the table as plain text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let mut group = (String::new(), String::new());
        for row in &self.rows {
            let at = (row.service.clone(), row.situation.clone());
            if at != group {
                let _ = writeln!(text, "\n{} / {} ({} runs)", at.0, at.1, row.runs);
                text.push_str(HEADING);
                group = at;
            }
            write_row(&mut text, row);
        }
        text
    }

    /// Renders the table as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error when serialization fails, which these types rule out.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }
}

/// Column headings.
const HEADING: &str = concat!(
    "  chooser                 det.p50 det.p99  found  sent share |  false  shift  |",
    "  err%  ref%    p50    p99   p99.9 | goodput retry recov | serving weight  B/s\n",
);

fn write_row(text: &mut String, row: &TableRow) {
    let _ = writeln!(
        text,
        "  {:<23} {:>7} {:>7} {:>6} {:>5} {:>5} | {:>6} {:>6}  \
         | {:>5.2} {:>5.2} {:>6.0} {:>6.0} {:>7.0} \
         | {:>7.3} {:>5.3} {:>5.1} | {:>7.2} {:>6.2} {:>5}",
        row.chooser,
        optional(row.detection_median, 2),
        optional(row.detection_p99, 2),
        optional(row.detected, 2),
        optional(row.sent_before, 0),
        optional(row.sick_share, 2),
        row.false_ejections,
        row.false_shifts,
        row.errors,
        row.refused,
        row.latency[0],
        row.latency[1],
        row.latency[2],
        row.goodput,
        row.retries,
        row.recovery_p99,
        row.least_serving,
        row.least_weight,
        row.evidence_peak,
    );
}

fn optional(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}
