//! Pools of upstreams, one for each service that this node sends requests to.
//!
//! A fleet has thousands of services and a node calls few of them. A pool is made when a request
//! asks for its service, and dropped when none has for a while; a small fleet keeps all of them.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamorelink_core::{InstanceId, ServiceName, UpstreamId, name_hash};
use sycamorelink_policy::{
    PolicyMechanism, PoolSettings, ServicePool, UpstreamEvidence, UpstreamPhase,
};
use sycamorelink_roster::UpstreamFacts;

use crate::command::NodeCommand;
use crate::contracts::leaning_of;
use crate::message::PeerMessage;
use crate::node::NodeEngine;
use crate::note::NodeNote;

/// Pools kept whether or not a request asked for them.
const EAGER_POOLS: usize = 64;
/// Time without a request after which a pool beyond these is dropped.
const IDLE_POOL: Duration = Duration::from_mins(10);
/// Peers that hear evidence about one service; beyond them gossip would have to carry it.
const EVIDENCE_PEERS: usize = 32;

impl NodeEngine {
    pub(crate) fn on_upstream_changed(
        &mut self,
        now: Duration,
        id: UpstreamId,
        facts: &UpstreamFacts,
    ) {
        if !self.pools.contains_key(&facts.service) && !self.wants_pool(&facts.service) {
            return;
        }
        self.ensure_pool(now, &facts.service);
        self.put_upstream(now, id, facts);
    }

    pub(crate) fn put_upstream(&mut self, now: Duration, id: UpstreamId, facts: &UpstreamFacts) {
        let Some(domain) = self.domain_of(id.node) else {
            return;
        };
        let phase = match facts.phase {
            sycamorelink_roster::UpstreamPhase::Starting => UpstreamPhase::Starting,
            sycamorelink_roster::UpstreamPhase::Ready => UpstreamPhase::Ready,
            sycamorelink_roster::UpstreamPhase::Leaving => UpstreamPhase::Leaving,
        };
        let facts_of_pool = sycamorelink_policy::UpstreamFacts {
            slots: facts.slots,
            domain,
            phase,
        };
        if let Some(pool) = self.pools.get_mut(&facts.service) {
            pool.upsert(now, id, &facts_of_pool);
        }
    }

    /// Whether a pool is kept although no request has asked for the service yet.
    pub(crate) fn wants_pool(&self, service: &ServiceName) -> bool {
        self.pools.len() < EAGER_POOLS || self.runs(service)
    }

    /// Whether a backend server beside this node runs the service.
    pub(crate) fn runs(&self, service: &ServiceName) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| upstream.announced.service == *service)
    }

    /// Makes the pool of a service, with what the roster knows of it.
    pub(crate) fn ensure_pool(&mut self, now: Duration, service: &ServiceName) {
        if self.pools.contains_key(service) {
            return;
        }
        let known = self.roster.upstreams(service.as_str());
        if known.is_empty() && !self.wants_pool(service) {
            return;
        }
        let seed = self.seed ^ name_hash(service.as_str());
        let rule = self.table.service_rule(service.as_str());
        let leaning = rule
            .map(|rule| leaning_of(rule.leaning))
            .unwrap_or_default();
        let settings = if self.has_fleet_form() {
            self.fleet_pool_settings()
        } else {
            PoolSettings::for_leaning(leaning)
        };
        let mut pool = ServicePool::new(settings, seed);
        if let Some(rule) = rule {
            pool.set_floor(rule.floor, rule.floor_count);
        }
        if self.has_fleet_form() && self.settings.policy.is_on(PolicyMechanism::NearFirst) {
            pool.prefer(self.own.domain.clone());
        }
        self.pools.insert(service.clone(), pool);
        for (id, facts) in known {
            self.put_upstream(now, id, &facts);
        }
    }

    /// Drops the pools of services that no request has asked for lately, in a fleet with many.
    pub(crate) fn drop_idle_pools(&mut self, now: Duration) {
        if self.pools.len() <= EAGER_POOLS {
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
            kept.contains(service) || now < last + IDLE_POOL
        });
        let pools = &self.pools;
        self.pool_used
            .retain(|service, _| pools.contains_key(service));
    }

    pub(crate) fn tick_pools(&mut self, now: Duration, out: &mut Vec<NodeCommand>) {
        self.drop_idle_pools(now);
        let fleet = self.has_fleet_form();
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
            // Under a fleet contract the node beside each upstream sees all that callers see, sooner, and
            // its word goes with every reply. Callers' own scores, told to each other, took nothing off the
            // failures, and at some hundred nodes each hears of an upstream only once in half a minute.
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
            .take(EVIDENCE_PEERS)
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
