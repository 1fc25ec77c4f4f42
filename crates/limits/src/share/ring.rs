//! Assignment of units to keepers by rendezvous hashing over one roster.
//!
//! The rank of a member for a unit depends only on the customer, the unit and the member itself. Of
//! two rosters that both list members A and B, it is impossible that one ranks A first and the
//! other B.

use std::collections::BTreeSet;
use std::sync::Arc;

use sycamorelink_core::{InstanceId, name_hash};

use super::ShareMember;

/// Number of units that each contract is divided into.
pub const UNIT_COUNT: u32 = 64;
/// Number of keepers of one customer in each failure domain.
pub const PLACE_COUNT: u8 = 2;

/// Failure domain of a ring.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RingDomain {
    key: u64,
    members: Vec<InstanceId>,
}

/// Roster arranged for ranking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareRing {
    version: u64,
    domains: Vec<RingDomain>,
    members: Arc<BTreeSet<InstanceId>>,
}

/// Keeper of one customer, and its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperPlace {
    /// Stable hash of the failure domain's name.
    pub domain: u64,
    /// Index within the domain, below [`PLACE_COUNT`].
    pub place: u8,
    /// Member that ranks first for the place.
    pub keeper: InstanceId,
}

impl ShareRing {
    /// Creates a ring from a roster.
    #[must_use]
    pub fn new(version: u64, members: &[ShareMember]) -> Self {
        let mut domains: Vec<RingDomain> = Vec::new();
        for member in members {
            let key = name_hash(member.domain.as_str());
            match domains.iter_mut().find(|domain| domain.key == key) {
                Some(domain) => domain.members.push(member.instance),
                None => domains.push(RingDomain {
                    key,
                    members: vec![member.instance],
                }),
            }
        }
        domains.sort_by_key(|domain| domain.key);
        let members = members.iter().map(|member| member.instance).collect();
        Self {
            version,
            domains,
            members: Arc::new(members),
        }
    }

    /// Returns the version of the roster.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the roster has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns whether the roster lists this incarnation of a node.
    #[must_use]
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.members.contains(&instance)
    }

    /// Returns all members, in order of their ids.
    pub fn members(&self) -> impl Iterator<Item = InstanceId> {
        self.members.iter().copied()
    }

    /// Returns a fingerprint of the failure domains. Units stay in their domains while it is the
    /// same.
    #[must_use]
    pub fn layout(&self) -> u32 {
        let keys = self.domains.iter().map(|domain| domain.key);
        let layout = keys.fold(0, |layout, key| mix(layout ^ key));
        u32::try_from(layout >> 32).unwrap_or(0)
    }

    /// Returns the hash of a member's failure domain.
    #[must_use]
    pub fn domain_of(&self, instance: InstanceId) -> Option<u64> {
        self.domains
            .iter()
            .find(|domain| domain.members.contains(&instance))
            .map(|domain| domain.key)
    }

    /// Returns the keeper of a customer in one place of a domain.
    #[must_use]
    pub fn keeper(&self, customer: u64, domain: u64, place: u8) -> Option<InstanceId> {
        self.domains
            .iter()
            .find(|entry| entry.key == domain)?
            .members
            .iter()
            .copied()
            .max_by_key(|member| member_rank(customer, place, *member))
    }

    /// Returns all keepers of a customer, in order of domain and place.
    pub fn keepers(&self, customer: u64) -> impl Iterator<Item = KeeperPlace> {
        self.domains.iter().flat_map(move |domain| {
            (0..PLACE_COUNT).filter_map(move |place| {
                let keeper = self.keeper(customer, domain.key, place)?;
                Some(KeeperPlace {
                    domain: domain.key,
                    place,
                    keeper,
                })
            })
        })
    }

    /// Returns the domain and place that a unit of a customer belongs to.
    #[must_use]
    pub fn unit_owner(&self, customer: u64, unit: u32) -> Option<(u64, u8)> {
        let unit_key = mix(customer ^ mix(u64::from(unit) + 1));
        let place = unit_place(unit_key);
        self.domains
            .iter()
            .map(|domain| domain.key)
            .max_by_key(|domain| mix(unit_key ^ domain))
            .map(|domain| (domain, place))
    }
}

fn unit_place(unit_key: u64) -> u8 {
    u8::try_from(mix(unit_key) % u64::from(PLACE_COUNT)).unwrap_or(0)
}

fn member_rank(customer: u64, place: u8, member: InstanceId) -> (u64, InstanceId) {
    let key = mix(customer ^ mix(u64::from(place) + 0x51));
    (mix(key ^ member.node.0), member)
}

/// Finalizer of splitmix64: a fast hash in which every output bit depends on every input bit.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the slots of one unit when a concurrency is divided into units.
#[must_use]
pub fn unit_slots(concurrency: u32, unit: u32) -> u32 {
    let extra = u32::from(unit < concurrency % UNIT_COUNT);
    concurrency / UNIT_COUNT + extra
}
