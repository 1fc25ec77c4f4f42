//! What a daemon works out from its settings, and from what earlier lives left, before it starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use sycamorelink_core::{InstanceId, NodeClock, NodeId, NodeIncarnation};
use sycamorelink_engine::EngineSettings;
use sycamorelink_roster::MemberFacts;
use sycamorelink_wire::{DATAGRAM_PAYLOAD, FleetKey, FleetKeys};

use crate::border::{MemberDirectory, MemberEntry};
use crate::settings::DaemonSettings;
use crate::sockets::DaemonAddresses;

/// Longest wait for the entries of earlier lives before the daemon starts.
const ENTRY_LIMIT: Duration = Duration::from_millis(500);

pub fn member_facts(
    settings: &DaemonSettings,
    addresses: &DaemonAddresses,
    clock: &dyn NodeClock,
    least: u64,
) -> MemberFacts {
    let millis = u64::try_from(clock.wall().as_millis()).unwrap_or(u64::MAX);
    let millis = millis.max(least);
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

/// The entries that other nodes, and earlier lives of this one, left; none when the fleet starts for
/// the first time or they cannot be read soon. A daemon does not wait for them: it reads them later.
pub fn earlier_entries(
    settings: &DaemonSettings,
    members: Option<&dyn MemberDirectory>,
) -> anyhow::Result<Vec<MemberEntry>> {
    let Some(members) = members.filter(|_| !settings.first_start) else {
        return Ok(Vec::new());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot read the entries of earlier lives")?;
    let listed =
        runtime.block_on(async { tokio::time::timeout(ENTRY_LIMIT, members.list()).await });
    match listed {
        Ok(Ok(entries)) => return Ok(entries),
        Ok(Err(error)) => tracing::warn!(%error, "the entries of earlier lives cannot be read"),
        Err(_) => tracing::warn!("the entries of earlier lives were not read in time"),
    }
    Ok(Vec::new())
}

/// The least incarnation that this life may have.
///
/// Failure: the wall clock is set back and the node restarts; peers remember its earlier life with a
/// greater incarnation and take the new one for old. The entry that the earlier life left tells its
/// incarnation. Where it could not be read the wall clock has to do, and the roster tells when it
/// did not.
pub fn known_incarnation(settings: &DaemonSettings, entries: &[MemberEntry]) -> u64 {
    let own = entries
        .iter()
        .filter(|entry| entry.name == settings.instance);
    own.map(|entry| entry.incarnation + 1).max().unwrap_or(0)
}

pub fn fleet_keys(settings: &DaemonSettings) -> FleetKeys {
    let current = FleetKey::new(&settings.fleet_keys.current.secret);
    let previous = settings.fleet_keys.previous.as_ref();
    FleetKeys {
        current,
        previous: previous.map(|key| FleetKey::new(&key.secret)),
    }
}

pub fn engine_settings(settings: &DaemonSettings) -> anyhow::Result<EngineSettings> {
    let mut parts = EngineSettings {
        first_start: settings.first_start,
        leave_serving: settings.drain.serving,
        roster: section("roster", &settings.roster)?,
        guard: section("guard", &settings.guard)?,
        policy: section("policy", &settings.policy)?,
        ..EngineSettings::default()
    };
    if let Some(share) = settings.limits.get("share") {
        parts.share = section("limits.share", share)?;
    }
    if let Some(crash) = settings.limits.get("crash") {
        parts.crash = section("limits.crash", crash)?;
    }
    if let Some(gate) = settings.limits.get("gate") {
        parts.gate = section("limits.gate", gate)?;
    }
    if let Some(quota) = settings.limits.get("quota") {
        parts.quota = section("limits.quota", quota)?;
    }
    // The membership fills its datagrams up to this size, and they are sealed after that.
    let datagram = &mut parts.roster.datagram_bytes;
    *datagram = (*datagram).min(DATAGRAM_PAYLOAD);
    parts
        .validate()
        .into_result()
        .context("the settings have findings")?;
    Ok(parts)
}

fn section<T>(place: &str, value: &serde_json::Value) -> anyhow::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    serde_path_to_error::deserialize(value).with_context(|| format!("cannot read {place}"))
}
