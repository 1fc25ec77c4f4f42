//! Starts and stops the development fleet: a log stand-in, daemons, and one backend server per
//! daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context, bail};
use sycamorelink_contract::ContentDigest;
use sycamorelink_core::{NodeClock, ServiceName};
use sycamorelink_daemon::settings::{DaemonSettings, OperatorAccount, OperatorRole};
use sycamorelink_daemon::{Daemon, DaemonHandle};
use sycamorelink_standin::{
    BackendSettings, BackendStandin, LogStandin, LogStandinSettings, RunningBackend, RunningLog,
};

use super::plan::{SERVICES, ServicePlan};
use super::runtime::RuntimeThread;
use crate::settings::ToolSettings;

/// Token of the fleet's operator. It can be a constant because all servers listen on the loopback
/// interface only.
const OPERATOR_TOKEN: &str = "operator-demo";
/// Shared secret of the fleet's daemons.
const FLEET_SECRET: &str = "a-secret-of-the-development-fleet";
/// Maximum time to wait for all daemons to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One instance of the development fleet.
pub(super) struct DevInstance {
    pub(super) name: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) plan: &'static ServicePlan,
    pub(super) daemon: DaemonHandle,
    pub(super) backend: RunningBackend,
}

impl DevInstance {
    /// Returns tool settings that address only this instance.
    pub(super) fn tool_settings(&self) -> ToolSettings {
        operator_settings(vec![self.daemon.addresses().operators])
    }
}

fn operator_settings(daemons: Vec<SocketAddr>) -> ToolSettings {
    ToolSettings {
        daemons,
        token: Some(Arc::from(OPERATOR_TOKEN)),
        ..ToolSettings::default()
    }
}

/// The running development fleet.
pub(super) struct DevFleet {
    pub(super) instances: Vec<DevInstance>,
    _log: RunningLog,
    _standins: RuntimeThread,
}

impl DevFleet {
    /// Starts the log stand-in and all instances.
    pub(super) fn start() -> anyhow::Result<Self> {
        let standins = RuntimeThread::start("stand-ins")?;
        let log = standins
            .wait(LogStandin::start(any_port(), LogStandinSettings::default()))
            .context("could not start the log stand-in")?;
        let mut instances: Vec<DevInstance> = Vec::new();
        for (plan, number) in planned_instances() {
            let seeds = instances
                .iter()
                .map(|instance| instance.daemon.addresses().gossip);
            let seeds = seeds.take(2).collect();
            let instance = start_instance(&standins, plan, number, log.address(), seeds)
                .with_context(|| format!("could not start {}-{number}", plan.service))?;
            instances.push(instance);
        }
        Ok(Self {
            instances,
            _log: log,
            _standins: standins,
        })
    }

    /// Returns tool settings that address all instances.
    pub(super) fn tool_settings(&self) -> ToolSettings {
        let daemons = self.instances.iter();
        operator_settings(
            daemons
                .map(|instance| instance.daemon.addresses().operators)
                .collect(),
        )
    }

    /// Waits until every daemon accepts requests.
    pub(super) fn wait_until_ready(&self, clock: &dyn NodeClock) -> anyhow::Result<()> {
        let deadline = clock.now() + READY_LIMIT;
        while !self
            .instances
            .iter()
            .all(|instance| instance.daemon.is_ready())
        {
            if clock.now() >= deadline {
                bail!("not every daemon was ready within {READY_LIMIT:?}");
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Stops the daemons without draining them: a drain of the whole fleet would never end, because
    /// no daemon remains to take over the work.
    pub(super) fn stop(self) {
        for instance in self.instances {
            // The announcements of the backend server keep a connection to the daemon open.
            drop(instance.backend);
            instance.daemon.stop();
        }
    }
}

/// Returns the instances to start, each as a service and a number within the service.
fn planned_instances() -> impl Iterator<Item = (&'static ServicePlan, usize)> {
    let plans = SERVICES.iter();
    plans.flat_map(|plan| (1..=plan.instances).map(move |number| (plan, number)))
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start_instance(
    standins: &RuntimeThread,
    plan: &'static ServicePlan,
    number: usize,
    log: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> anyhow::Result<DevInstance> {
    let name = format!("{}-{number}", plan.service);
    let domain = format!("d{}", (number - 1) % plan.domains + 1);
    let operator = OperatorAccount {
        name: Arc::from("dev"),
        token_sha256: Arc::from(ContentDigest::of(OPERATOR_TOKEN.as_bytes()).to_string()),
        role: OperatorRole::Admin,
        team: None,
    };
    let settings = DaemonSettings::builder(&name, &domain)
        .log_address(log)
        .fleet_key("dev", FLEET_SECRET)
        .seeds(seeds)
        .operator(operator)
        .build()?;
    let daemon = Daemon::start(settings)?;
    let backend = BackendSettings {
        service: ServiceName::new(plan.service),
        service_time: plan.service_time,
        seed: u64::try_from(number).unwrap_or_default(),
        daemon: Some(daemon.addresses().operators),
        ..BackendSettings::default()
    };
    let backend = standins
        .wait(BackendStandin::start(any_port(), backend))
        .context("could not start the backend server")?;
    Ok(DevInstance {
        name: Arc::from(name),
        domain: Arc::from(domain),
        plan,
        daemon,
        backend,
    })
}
