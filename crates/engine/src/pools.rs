//! Pools of upstreams, one for each service that this node sends requests to.
//!
//! A fleet has thousands of services, and one node calls few of them. A pool is created when a
//! request first needs its service and dropped after a time without requests. In a small fleet all
//! pools are kept.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamorelink_core::{InstanceId, ServiceName, UpstreamId, name_hash};
use sycamorelink_policy::{
    PolicyMechanism, PoolSettings, ServicePool, UpstreamEvidence, UpstreamPhase,
};
use sycamorelink_roster::UpstreamFacts;

use crate::command::NodeCommand;
use crate::contracts::pool_leaning;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Number of pools that are kept regardless of requests.
const ALWAYS_KEPT_POOLS: usize = 64;
/// Time without a request after which further pools are dropped.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Maximum number of peers that receive evidence about one service directly. A larger audience
/// would need gossip.
const MAX_EVIDENCE_PEERS: usize = 32;

impl NodeEngine {
    pub(crate) fn on_upstream_changed(
        &mut self,
        now: Duration,
        id: UpstreamId,
        facts: &UpstreamFacts,
    ) {
        if !self.pools.contains_key(&facts.service) && !self.keeps_pool(&facts.service) {
            return;
        }
        self.ensure_pool(now, &facts.service);
        self.add_to_pool(now, id, facts);
    }

    pub(crate) fn add_to_pool(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let Some(domain) = self.domain_of(id.node) else {
            return;
        };
        let phase = match facts.phase {
            sycamorelink_roster::UpstreamPhase::Starting => UpstreamPhase::Starting,
            sycamorelink_roster::UpstreamPhase::Ready => UpstreamPhase::Ready,
            sycamorelink_roster::UpstreamPhase::Leaving => UpstreamPhase::Leaving,
        };
        let pool_facts = sycamorelink_policy::UpstreamFacts {
            slots: facts.slots,
            domain,
            phase,
        };
        if let Some(pool) = self.pools.get_mut(&facts.service) {
            pool.upsert(now, id, &pool_facts);
        }
    }

    /// Returns whether a pool is kept although no request needs the service yet.
    pub(crate) fn keeps_pool(&self, service: &ServiceName) -> bool {
        self.pools.len() < ALWAYS_KEPT_POOLS || self.runs(service)
    }

    /// Returns whether a backend server beside this node runs the service.
    pub(crate) fn runs(&self, service: &ServiceName) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| upstream.announced.service == *service)
    }

    /// Creates the pool of a service from the upstreams that the roster lists.
    pub(crate) fn ensure_pool(&mut self, now: Duration, service: &ServiceName) {
        if self.pools.contains_key(service) {
            return;
        }
        let known = self.roster.upstreams(service.as_str());
        if known.is_empty() && !self.keeps_pool(service) {
            return;
        }
        let seed = self.seed ^ name_hash(service.as_str());
        let rule = self.table.service_rule(service.as_str());
        let leaning = rule
            .map(|rule| pool_leaning(rule.leaning))
            .unwrap_or_default();
        let settings = if self.uses_fleet_contract() {
            self.fleet_pool_settings()
        } else {
            PoolSettings::for_leaning(leaning)
        };
        let mut pool = ServicePool::new(settings, seed);
        if let Some(rule) = rule {
            pool.set_floor(rule.floor, rule.floor_count);
        }
        if self.uses_fleet_contract() && self.settings.policy.is_on(PolicyMechanism::NearFirst) {
            pool.prefer_domain(self.own.domain.clone());
        }
        self.pools.insert(service.clone(), pool);
        for (id, facts) in known {
            self.add_to_pool(now, id, &facts);
        }
    }

    /// Drops the pools of services without recent requests, if there are many pools.
    pub(crate) fn drop_idle_pools(&mut self, now: Duration) {
        if self.pools.len() <= ALWAYS_KEPT_POOLS {
            return;
        }
        let kept: BTreeSet<ServiceName> = self
            .upstreams
            .values()
            .map(|upstream| upstream.announced.service.clone())
            .collect();
        let used = &self.pool_used;
        self.pools.retain(|service, _| {
            let last = used.get(service).copied().unwrap_or_default();
            kept.contains(service) || now < last + POOL_IDLE_TIMEOUT
        });
        let pools = &self.pools;
        self.pool_used
            .retain(|service, _| pools.contains_key(service));
    }

    pub(crate) fn tick_pools(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.drop_idle_pools(now);
        let fleet = self.uses_fleet_contract();
        let mut findings = Vec::new();
        let mut reports: Vec<(ServiceName, Vec<UpstreamEvidence>)> = Vec::new();
        for (service, pool) in &mut self.pools {
            pool.tick(now, &mut findings);
            for finding in findings.drain(..) {
                let note = NodeNote::Pool {
                    service: service.clone(),
                    finding,
                };
                out.push(NodeCommand::Note(note));
            }
            // Under a fleet contract the node beside an upstream observes all runs there, sooner
            // than callers do, and adds its findings to every reply. Exchanging the callers' own
            // scores did not reduce failures, and with some hundred nodes each of them gets new
            // data about an upstream only every half minute.
            let report = if fleet { Vec::new() } else { pool.report(now) };
            if !report.is_empty() {
                reports.push((service.clone(), report));
            }
        }
        for (service, evidence) in reports {
            self.spread_evidence(&service, &evidence, out);
        }
    }

    pub(crate) fn spread_evidence(
        &mut self,
        service: &ServiceName,
        evidence: &[UpstreamEvidence],
        out: &mut Vec<NodeCommand>,
    ) {
        let own = self.own.instance.node;
        let peers: Vec<InstanceId> = self
            .roster
            .members()
            .into_iter()
            .filter(|member| member.standing.is_present() && member.facts.instance.node != own)
            .map(|member| member.facts.instance)
            .take(MAX_EVIDENCE_PEERS)
            .collect();
        for peer in peers {
            let message = PeerMessage::Evidence {
                service: service.clone(),
                evidence: evidence.to_vec(),
            };
            self.send_peer(peer, message, out);
        }
    }
}
