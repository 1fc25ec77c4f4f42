//! Roster from the point of view of one node: the units that it keeps, and whether it is active.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::InstanceId;

use super::contract::LimitRow;
use super::ring::{ShareRing, UNIT_COUNT, mix, unit_slots};
use super::{ShareMember, ShareSettings};

/// Number of blocks that the base part of a concurrency is divided into.
const BASE_BLOCKS: u32 = 8;

/// Roster that was in force here before the present one.
#[derive(Debug, Clone)]
struct FormerRing {
    ring: Arc<ShareRing>,
    replaced_by: u64,
    replaced_at: Duration,
}

/// Difference between a new roster and the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RingChange {
    /// Whether the failure domains differ, so that units moved between domains.
    pub domains: bool,
    /// Whether members were added or removed.
    pub members: bool,
}

/// Part of one contract that a keeper may lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Rate, in thousandths of a request per second.
    pub rate: u64,
    /// Concurrent requests.
    pub slots: u32,
}

/// Roster from the point of view of one node.
#[derive(Debug)]
pub struct RosterView {
    own: InstanceId,
    settings: ShareSettings,
    ring: Option<Arc<ShareRing>>,
    own_domain: u64,
    former_rings: Vec<FormerRing>,
    settled: u64,
    listed_since: Option<(u64, Duration)>,
    active_since: Option<Duration>,
    anchored_at: Option<Duration>,
}

impl RosterView {
    /// Creates a view without a roster.
    #[must_use]
    pub fn new(own: InstanceId, settings: ShareSettings) -> Self {
        Self {
            own,
            settings,
            ring: None,
            own_domain: 0,
            former_rings: Vec::new(),
            settled: 0,
            listed_since: None,
            active_since: None,
            anchored_at: None,
        }
    }

    /// Returns the roster in force, or `None` before the first.
    #[must_use]
    pub fn ring(&self) -> Option<&Arc<ShareRing>> {
        self.ring.as_ref()
    }

    /// Returns the fingerprint of the failure domains in force.
    #[must_use]
    pub fn layout(&self) -> u32 {
        self.ring.as_ref().map_or(0, |ring| ring.layout())
    }

    /// Returns the hash of this node's failure domain.
    #[must_use]
    pub const fn own_domain(&self) -> u64 {
        self.own_domain
    }

    /// Adopts a roster. Ignores one that is not newer than the present one.
    pub fn adopt(
        &mut self,
        now: Duration,
        version: u64,
        members: &[ShareMember],
        settled: u64,
    ) -> RingChange {
        self.settled = self.settled.max(settled);
        let known = self.ring.as_ref().map(|ring| ring.version());
        if known.is_some_and(|known| version <= known) {
            self.refresh(now);
            return RingChange::default();
        }
        let ring = Arc::new(ShareRing::new(version, members));
        let former = self.ring.replace(Arc::clone(&ring));
        let change = RingChange {
            domains: former
                .as_ref()
                .is_none_or(|old| old.layout() != ring.layout()),
            members: true,
        };
        self.update_own_entry(now, &ring);
        if let Some(former) = former {
            self.former_rings.push(FormerRing {
                ring: former,
                replaced_by: version,
                replaced_at: now,
            });
        }
        self.refresh(now);
        change
    }

    fn update_own_entry(&mut self, now: Duration, ring: &ShareRing) {
        if ring.contains(self.own) {
            if self.listed_since.is_none() {
                self.listed_since = Some((ring.version(), now));
                self.anchored_at = Some(now);
            }
            self.own_domain = ring.domain_of(self.own).unwrap_or(0);
        } else {
            self.listed_since = None;
            self.active_since = None;
        }
    }

    /// Records that this node confirmed at `since` that all members still list it and that
    /// `version` is the newest.
    pub fn anchor(&mut self, now: Duration, version: u64, since: Duration) {
        let is_newest = self
            .ring
            .as_ref()
            .is_some_and(|ring| ring.version() >= version);
        if is_newest && self.anchored_at.is_none_or(|at| at < since) && self.listed_since.is_some()
        {
            self.anchored_at = Some(since.min(now));
            self.refresh(now);
        }
    }

    /// Discards the confirmation after a pause that this node's clock may not show.
    pub fn clear_anchor(&mut self) {
        self.anchored_at = None;
        self.active_since = None;
    }

    /// Removes former rosters that no longer matter, and updates since when this node is active.
    pub fn refresh(&mut self, now: Duration) {
        let kept = self.settings.long_lease * 2;
        self.former_rings
            .retain(|former| now < former.replaced_at + kept);
        if self.is_sole_member() {
            self.former_rings.clear();
        }
        if !self.is_active(now) {
            self.active_since = None;
        } else if self.active_since.is_none() {
            self.active_since = Some(now);
        }
    }

    fn is_sole_member(&self) -> bool {
        self.listed_since.is_some() && self.ring.as_ref().is_some_and(|ring| ring.len() == 1)
    }

    /// Returns until when this node's rights last without another confirmation.
    ///
    /// A partitioned node is eventually removed from the roster and its units go to others, so both
    /// sides would admit on the same units. A node that has not confirmed for `right_hold` that it
    /// is still listed therefore stops by itself, and no other node removes it sooner.
    #[must_use]
    pub fn rights_end(&self) -> Duration {
        self.anchored_at
            .map_or(Duration::ZERO, |at| at + self.settings.right_hold)
    }

    /// Returns whether this node may use a base share and keep units.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        let Some((version, listed_at)) = self.listed_since else {
            return false;
        };
        let waited = now >= listed_at + self.settings.removal_wait();
        let settled = self.settled >= version || waited || self.is_sole_member();
        settled && now < self.rights_end()
    }

    /// Returns whether this node may use its leases.
    #[must_use]
    pub fn may_hold(&self, now: Duration) -> bool {
        now < self.rights_end()
    }

    fn is_settled(&self, now: Duration, former: &FormerRing) -> bool {
        let wait = self.settings.reuse_wait(self.settings.long_lease);
        self.settled >= former.replaced_by || now >= former.replaced_at + wait
    }

    /// Returns the part of a contract that this node may lease in one place.
    ///
    /// Leaves out units that another member may have leased under a former roster, until those
    /// leases have certainly expired.
    #[must_use]
    pub fn pool_size(&self, now: Duration, limit: LimitRow, place: u8) -> PoolSize {
        let Some(ring) = self.ring.as_ref().filter(|_| self.is_active(now)) else {
            return PoolSize::default();
        };
        let unsettled = self
            .former_rings
            .iter()
            .filter(|former| !self.is_settled(now, former));
        let rings: Vec<&ShareRing> = unsettled
            .map(|former| former.ring.as_ref())
            .chain([ring.as_ref()])
            .collect();
        if !rings.iter().all(|ring| self.is_keeper(ring, limit, place)) {
            return PoolSize::default();
        }
        let own = Some((self.own_domain, place));
        let kept =
            limit.concurrency - base_slots_total(limit.concurrency, self.settings.base_percent);
        let mut units = 0;
        let mut slots = 0;
        for unit in 0..UNIT_COUNT {
            let mut owners = rings
                .iter()
                .map(|ring| ring.unit_owner(limit.customer, unit));
            if owners.all(|owner| owner == own) {
                units += 1;
                slots += unit_slots(kept, unit);
            }
        }
        let percent = u64::from(100 - self.settings.base_percent);
        let rate = limit.rate * percent * units / (100 * u64::from(UNIT_COUNT));
        PoolSize { rate, slots }
    }

    /// Returns the part of a contract that all keepers together may lease.
    #[must_use]
    pub fn whole_size(&self, limit: LimitRow) -> PoolSize {
        let percent = self.settings.base_percent;
        PoolSize {
            rate: limit.rate * u64::from(100 - percent) / 100,
            slots: limit.concurrency - base_slots_total(limit.concurrency, percent),
        }
    }

    fn is_keeper(&self, ring: &ShareRing, limit: LimitRow, place: u8) -> bool {
        ring.keeper(limit.customer, self.own_domain, place) == Some(self.own)
    }

    /// Returns since when this node has certainly been the keeper of a place, so that the unleased
    /// rate since then has accrued here and nowhere else.
    #[must_use]
    pub fn kept_since(&self, now: Duration, limit: LimitRow, place: u8) -> Duration {
        let Some(active_since) = self.active_since else {
            return now;
        };
        let was_always_keeper = self
            .former_rings
            .iter()
            .all(|old| old.replaced_at <= active_since || self.is_keeper(&old.ring, limit, place));
        if was_always_keeper {
            active_since.max(now.saturating_sub(self.settings.long_lease * 2))
        } else {
            now
        }
    }

    /// Returns the rate that this node uses without a lease, in thousandths of a request per
    /// second.
    #[must_use]
    pub fn base_rate(&self, now: Duration, limit: LimitRow) -> u64 {
        let Some(ring) = self.ring.as_ref().filter(|_| self.is_active(now)) else {
            return 0;
        };
        let count = u64::try_from(ring.len()).unwrap_or(u64::MAX);
        limit.rate * u64::from(self.settings.base_percent) / (100 * count.max(1))
    }

    /// Returns the blocks of a customer's base slots that the roster assigns to this node, one bit
    /// each.
    ///
    /// Ranks every member, so a holder calls this once for each roster.
    #[must_use]
    pub fn base_blocks(&self, customer: u64) -> u32 {
        let Some(ring) = self.ring.as_ref() else {
            return 0;
        };
        (0..BASE_BLOCKS)
            .filter(|block| self.owns_base_block(ring, customer, *block))
            .fold(0, |blocks, block| blocks | 1 << block)
    }

    /// Returns the slots that this node uses without a lease, given its blocks.
    #[must_use]
    pub fn base_slots(&self, now: Duration, limit: LimitRow, blocks: u32) -> u32 {
        if blocks == 0 || !self.is_active(now) {
            return 0;
        }
        let base = base_slots_total(limit.concurrency, self.settings.base_percent);
        (0..BASE_BLOCKS)
            .filter(|block| blocks & (1 << block) != 0)
            .map(|block| base / BASE_BLOCKS + u32::from(block < base % BASE_BLOCKS))
            .sum()
    }

    fn owns_base_block(&self, ring: &ShareRing, customer: u64, block: u32) -> bool {
        let key = mix(customer ^ mix(u64::from(block) + 0xba5e));
        let first = ring
            .members()
            .max_by_key(|member| (mix(key ^ member.node.0), *member));
        first == Some(self.own)
    }
}

fn base_slots_total(concurrency: u32, percent: u32) -> u32 {
    let part = u64::from(concurrency) * u64::from(percent) / 100;
    u32::try_from(part).unwrap_or(0)
}
