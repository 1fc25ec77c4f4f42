//! Derives a daemon's identity, keys and engine settings before its threads start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::{InstanceId, NodeClock, NodeId, NodeIncarnation};
use sycamorelink_engine::EngineSettings;
use sycamorelink_roster::MemberFacts;
use sycamorelink_wire::{DATAGRAM_PAYLOAD, FleetKey, FleetKeys};

use crate::adapters::{DirectoryListing, MemberDirectory, MemberEntry};
use crate::settings::DaemonSettings;
use crate::sockets::DaemonAddresses;

/// Longest time to read the member directory before the daemon starts.
const DIRECTORY_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Builds this node's membership record. The incarnation is the wall clock in milliseconds, but at
/// least `least_incarnation`.
pub fn member_facts(
    settings: &DaemonSettings,
    addresses: &DaemonAddresses,
    clock: &dyn NodeClock,
    least_incarnation: u64,
) -> MemberFacts {
    let millis = u64::try_from(clock.wall().as_millis()).unwrap_or(u64::MAX);
    let millis = millis.max(least_incarnation);
    let advertised = |address: SocketAddr| {
        SocketAddr::new(settings.advertise.unwrap_or(address.ip()), address.port())
    };
    MemberFacts {
        instance: InstanceId {
            node: NodeId::of(&settings.instance),
            incarnation: NodeIncarnation(millis),
        },
        name: Arc::clone(&settings.instance),
        domain: settings.domain.clone(),
        region: Arc::clone(&settings.region),
        peer_address: advertised(addresses.peers),
        gossip_address: advertised(addresses.gossip),
    }
}

/// Reads what other nodes and earlier incarnations of this node wrote to the member directory.
/// Returns `None` without a directory, on a fleet's first start, and when the directory cannot be
/// read in time, in which case the daemon reads it after its start.
pub fn read_directory(
    settings: &DaemonSettings,
    members: Option<&dyn MemberDirectory>,
) -> anyhow::Result<Option<DirectoryListing>> {
    let Some(members) = members.filter(|_| !settings.first_start) else {
        return Ok(None);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start a runtime to read the member directory")?;
    let read = runtime
        .block_on(async { tokio::time::timeout(DIRECTORY_READ_TIMEOUT, members.list()).await });
    match read {
        Ok(Ok(listing)) => return Ok(Some(listing)),
        Ok(Err(error)) => tracing::warn!(%error, "failed to read the member directory"),
        Err(_) => tracing::warn!("timed out reading the member directory"),
    }
    Ok(None)
}

/// Returns the least incarnation that this node may start with.
///
/// When the wall clock is set back before a restart, peers remember a greater incarnation of the
/// node and treat the new one as outdated. The node's own directory entry gives its last
/// incarnation. Without the entry, the node relies on the wall clock, and the roster reports an
/// incarnation that is too low.
pub fn least_incarnation(settings: &DaemonSettings, entries: &[MemberEntry]) -> u64 {
    let own = entries
        .iter()
        .filter(|entry| entry.name == settings.instance);
    own.map(|entry| entry.incarnation + 1).max().unwrap_or(0)
}

/// Returns the current and the previous key of the fleet.
pub fn fleet_keys(settings: &DaemonSettings) -> FleetKeys {
    let current = FleetKey::new(&settings.fleet_keys.current.secret);
    let previous = settings.fleet_keys.previous.as_ref();
    FleetKeys {
        current,
        previous: previous.map(|key| FleetKey::new(&key.secret)),
    }
}

/// Builds and validates the engine's settings from the sections of the daemon's settings.
pub fn engine_settings(settings: &DaemonSettings) -> anyhow::Result<EngineSettings> {
    let mut engine = EngineSettings {
        first_start: settings.first_start,
        leave_serving: settings.drain.serving,
        leave_limit: settings.drain.time_limit(),
        roster: section("roster", &settings.roster)?,
        guard: section("guard", &settings.guard)?,
        policy: section("policy", &settings.policy)?,
        ..EngineSettings::default()
    };
    if let Some(share) = settings.limits.get("share") {
        engine.share = section("limits.share", share)?;
    }
    if let Some(crash) = settings.limits.get("crash") {
        engine.crash = section("limits.crash", crash)?;
    }
    if let Some(gate) = settings.limits.get("gate") {
        engine.gate = section("limits.gate", gate)?;
    }
    if let Some(quota) = settings.limits.get("quota") {
        engine.quota = section("limits.quota", quota)?;
    }
    if let Some(overload) = settings.limits.get("overload") {
        engine.overload = section("limits.overload", overload)?;
    }
    // The roster fills datagrams up to this size, before the wire protocol adds its prefix and MAC.
    let datagram = &mut engine.roster.datagram_bytes;
    *datagram = (*datagram).min(DATAGRAM_PAYLOAD);
    engine
        .validate()
        .into_result()
        .context("the settings have findings")?;
    Ok(engine)
}

fn section<T>(place: &str, value: &serde_json::Value) -> anyhow::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    serde_path_to_error::deserialize(value).with_context(|| format!("cannot read {place}"))
}
