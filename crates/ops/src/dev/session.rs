//! One `dev` session, from starting the fleet to the closing report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::bail;
use http::Method;
use sycamorelink_standin::{BackendPhase, RunCounts};

use super::fleet::{DevFleet, DevInstance};
use super::plan::{SERVICES, ServicePlan};
use super::report::ClosingReport;
use super::runtime::RuntimeThread;
use super::scenario::{ScenarioAction, ScenarioStep, scenario_steps, take_due_steps};
use super::screen::{render_entry, render_screen, render_status};
use super::setup::{publish_contracts, wait_until_settled};
use super::snapshot::{
    FleetSnapshot, ServiceSnapshot, UpstreamSnapshot, burn_lines, poll_burn, poll_service,
};
use super::stats::TrafficStats;
use super::timeline::FleetTimeline;
use super::traffic::DevTraffic;
use crate::client::{ApiCall, DaemonClient};
use crate::context::ShellContext;

/// Default duration of the scenario.
const DEFAULT_LENGTH: Duration = Duration::from_mins(1);
/// Interval between two snapshots of the fleet.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for calls in flight after the scenario.
const LAST_CALLS_LIMIT: Duration = Duration::from_secs(15);
/// Maximum time to wait for a drain that is in progress when the scenario ends.
const LAST_DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// Maximum time to wait for the fleet to warm up.
const WARM_UP_LIMIT: Duration = Duration::from_secs(20);
/// Terminal escape sequence that moves the cursor to the top left and clears the screen.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[J";

/// Options of the `dev` command.
#[derive(Clone, Copy, Debug, Default)]
pub struct DevOptions {
    /// Duration of the scenario; `None` for the default of one minute.
    pub length: Option<Duration>,
}

/// Runs the development fleet through the scenario and prints its state and a closing report.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, a scenario step fails, or a guarantee was
/// violated.
pub fn run_dev(context: &mut ShellContext, options: &DevOptions) -> anyhow::Result<()> {
    context.status("Starting", "a small fleet on the loopback interface");
    let fleet = DevFleet::start()?;
    let client = DaemonClient::open(&fleet.tool_settings())?;
    for instance in &fleet.instances {
        let operators = instance.daemon.addresses().operators;
        context.status(
            "Started",
            format_args!("{} (operators {operators})", instance.name),
        );
    }
    publish_contracts(context, &client)?;
    fleet.wait_until_ready(context.clock().as_ref())?;
    wait_until_settled(context, &client, fleet.instances.len())?;
    let session = DevSession::start(context, fleet, client, options)?;
    let report = session.run(context)?;
    context.data(report.render())?;
    let violated = report.broken_guarantees();
    if !violated.is_empty() {
        bail!("promises were broken: {}", violated.join("; "));
    }
    Ok(())
}

struct DevSession {
    fleet: DevFleet,
    client: DaemonClient,
    traffic: DevTraffic,
    stats: Arc<TrafficStats>,
    interrupted: Arc<AtomicBool>,
    _signals: RuntimeThread,
    steps: Vec<ScenarioStep>,
    timeline: FleetTimeline,
    fault_labels: BTreeMap<Arc<str>, &'static str>,
    runs: BTreeMap<Arc<str>, u64>,
    started: Duration,
    length: Duration,
    printed_entries: usize,
}

impl DevSession {
    fn start(
        context: &ShellContext,
        fleet: DevFleet,
        client: DaemonClient,
        options: &DevOptions,
    ) -> anyhow::Result<Self> {
        let stats = Arc::new(TrafficStats::default());
        let callers = fleet
            .instances
            .iter()
            .map(|instance| instance.daemon.addresses().callers);
        let traffic = DevTraffic::start(callers.collect(), Arc::clone(&stats))?;
        let signals = RuntimeThread::start("signals")?;
        let interrupted = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&interrupted);
        signals.spawn(async move {
            if tokio::signal::ctrl_c().await.is_ok() {
                flag.store(true, Ordering::Relaxed);
            }
        });
        Ok(Self {
            fleet,
            client,
            traffic,
            stats,
            interrupted,
            _signals: signals,
            steps: scenario_steps(),
            timeline: FleetTimeline::default(),
            fault_labels: BTreeMap::new(),
            runs: BTreeMap::new(),
            started: context.clock().now(),
            length: options.length.unwrap_or(DEFAULT_LENGTH),
            printed_entries: 0,
        })
    }

    fn run(mut self, context: &mut ShellContext) -> anyhow::Result<ClosingReport> {
        self.warm_up(context)?;
        let mut next = POLL_INTERVAL;
        loop {
            self.client.pause(next.saturating_sub(self.now(context)));
            next += POLL_INTERVAL;
            let now = self.now(context);
            for step in take_due_steps(&mut self.steps, now, self.length) {
                self.apply_step(now, &step)?;
            }
            let snapshot = self.take_snapshot(now);
            self.timeline.record_snapshot(&snapshot);
            self.record_drained(now);
            self.show(context, &snapshot)?;
            if now >= self.length || self.interrupted.load(Ordering::Relaxed) {
                return self.finish(context, now);
            }
        }
    }

    /// Waits for the fleet to warm up before the scenario starts. Backend servers receive little
    /// work after a cold start, which the timeline must not report as suspicion.
    fn warm_up(&mut self, context: &mut ShellContext) -> anyhow::Result<()> {
        let deadline = context.clock().now() + WARM_UP_LIMIT;
        while context.clock().now() < deadline && !self.interrupted.load(Ordering::Relaxed) {
            self.client.pause(POLL_INTERVAL);
            let snapshot = FleetSnapshot {
                warming_up: true,
                ..self.take_snapshot(Duration::ZERO)
            };
            if is_warmed_up(&snapshot) {
                break;
            }
            self.show(context, &snapshot)?;
        }
        self.stats.restart();
        self.started = context.clock().now();
        Ok(())
    }

    fn now(&self, context: &ShellContext) -> Duration {
        context.clock().now().saturating_sub(self.started)
    }

    fn apply_step(&mut self, now: Duration, step: &ScenarioStep) -> anyhow::Result<()> {
        let mut instances = self.fleet.instances.iter();
        let Some(instance) = instances.find(|instance| *instance.name == *step.instance) else {
            return Ok(());
        };
        match &step.action {
            ScenarioAction::Fault { fault, label } => {
                instance.backend.set_fault(fault.clone());
                self.fault_labels.insert(Arc::clone(&instance.name), label);
                self.timeline.record_fault(now, step.instance, label);
            }
            ScenarioAction::Drain => {
                drain(instance)?;
                self.timeline.record_drain(now, step.instance);
            }
        }
        self.timeline.record_step(now, step.instance, step.text);
        Ok(())
    }

    fn take_snapshot(&mut self, now: Duration) -> FleetSnapshot {
        let mut snapshot = FleetSnapshot {
            now,
            length: self.length,
            warming_up: false,
            daemons: self.fleet.instances.len(),
            services: Vec::new(),
            burns: burn_lines(&poll_burn(&self.client)),
        };
        for plan in &SERVICES {
            snapshot.services.push(self.service_snapshot(plan));
        }
        snapshot
    }

    fn service_snapshot(&mut self, plan: &'static ServicePlan) -> ServiceSnapshot {
        let aggregate = poll_service(&self.client, plan);
        let mut upstreams = Vec::new();
        for instance in self
            .fleet
            .instances
            .iter()
            .filter(|instance| instance.plan.service == plan.service)
        {
            let started = instance.backend.runs().total.started;
            let before = self.runs.insert(Arc::clone(&instance.name), started);
            let upstream = aggregate
                .upstreams
                .get(&*instance.name)
                .cloned()
                .unwrap_or_default();
            upstreams.push(UpstreamSnapshot {
                instance: instance.name.to_string(),
                domain: instance.domain.to_string(),
                fault: self
                    .fault_labels
                    .get(&instance.name)
                    .copied()
                    .unwrap_or_default(),
                phase: upstream.phase,
                weight: upstream.weight,
                suspicion: upstream.suspicion,
                reduced: upstream.reduced,
                ejected: upstream.ejected,
                runs: started.saturating_sub(before.unwrap_or_default()),
            });
        }
        ServiceSnapshot {
            service: plan.service,
            customer: plan.customer,
            calls: self.stats.take_recent(plan.service),
            floor: aggregate.floor,
            upstreams,
        }
    }

    fn show(&mut self, context: &mut ShellContext, snapshot: &FleetSnapshot) -> anyhow::Result<()> {
        if context.terminal() {
            let screen = render_screen(snapshot, &self.timeline);
            return context.data(format_args!("{CLEAR_SCREEN}{screen}"));
        }
        self.print_new_entries(context)?;
        context.data_line(render_status(snapshot))
    }

    /// Prints the timeline entries that were not printed yet.
    fn print_new_entries(&mut self, context: &mut ShellContext) -> anyhow::Result<()> {
        let new_entries = self.timeline.entries[self.printed_entries..]
            .iter()
            .map(render_entry);
        let new_entries: Vec<String> = new_entries.collect();
        self.printed_entries = self.timeline.entries.len();
        for line in new_entries {
            context.data_line(line)?;
        }
        Ok(())
    }

    fn record_drained(&mut self, now: Duration) {
        let instances = self.fleet.instances.iter();
        for instance in instances.filter(|instance| instance.daemon.is_drained()) {
            self.timeline.record_drained(now, &instance.name);
        }
    }

    /// Waits for drains that are still in progress.
    fn wait_for_drains(&mut self, context: &mut ShellContext) -> anyhow::Result<()> {
        if !self.timeline.is_draining() {
            return Ok(());
        }
        context.status("Waiting", "for the drained daemon to have nothing left");
        let deadline = context.clock().now() + LAST_DRAIN_LIMIT;
        while self.timeline.is_draining() && context.clock().now() < deadline {
            self.client.pause(POLL_INTERVAL / 10);
            let now = self.now(context);
            self.record_drained(now);
        }
        self.print_new_entries(context)
    }

    /// Waits for calls in flight, stops the fleet, and audits the statuses that callers received
    /// against the runs of the backend servers.
    fn finish(
        mut self,
        context: &mut ShellContext,
        now: Duration,
    ) -> anyhow::Result<ClosingReport> {
        self.traffic.stop();
        let deadline = context.clock().now() + LAST_CALLS_LIMIT;
        while self.traffic.in_flight() > 0 && context.clock().now() < deadline {
            self.client.pause(POLL_INTERVAL / 10);
        }
        let burns = burn_lines(&poll_burn(&self.client));
        self.wait_for_drains(context)?;
        let mut runs: BTreeMap<String, RunCounts> = BTreeMap::new();
        for instance in &self.fleet.instances {
            for (key, counts) in instance.backend.runs().by_key {
                let sum = runs.entry(key).or_default();
                sum.started += counts.started;
                sum.finished += counts.finished;
            }
        }
        let calls = SERVICES.iter().map(|plan| {
            let recent = self.stats.take_recent(plan.service);
            (plan.service, recent.counts)
        });
        let report = ClosingReport {
            length: now,
            calls: calls.collect(),
            audit: self.stats.audit(&runs),
            timeline: self.timeline,
            burns,
            lost: self.stats.lost(),
            unfinished: self.traffic.in_flight(),
        };
        drop(self.traffic);
        drop(self.client);
        context.status("Stopping", "the fleet");
        self.fleet.stop();
        Ok(report)
    }
}

/// Returns whether every upstream is ready and no daemon gives one reduced work, so that none is
/// ramping up.
fn is_warmed_up(snapshot: &FleetSnapshot) -> bool {
    let mut upstreams = snapshot
        .services
        .iter()
        .flat_map(|service| &service.upstreams);
    upstreams.all(|upstream| upstream.reduced == 0 && upstream.phase == "ready")
}

/// Drains an instance through the operators' API and makes its backend server announce that it
/// leaves.
fn drain(instance: &DevInstance) -> anyhow::Result<()> {
    instance.backend.set_phase(BackendPhase::Leaving);
    let call = ApiCall::new(Method::POST, "/v1/drain").first_daemon_only();
    DaemonClient::open(&instance.tool_settings())?.call(&call)?;
    Ok(())
}
