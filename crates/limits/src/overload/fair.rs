//! Queue of work in front of one backend server, shared fairly among client accounts.
//!
//! ```text
//! highest priority with work in time ─▶ lane with the least virtual time ─▶ in time before late
//!    └─ one start in ten: the other                                          └─▶ earliest start
//!       priority that has waited longest
//! ```
//!
//! Within a priority each client account has a lane. Its virtual time is the service time that the
//! account has used (start-time fair queueing). An account below its share is served even if all of its
//! work is late, rather than the work in time of accounts above theirs. Work without a known account shares one lane, which
//! has at least one start in four: these are mostly calls of backend servers, and a run waits for each
//! of them.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamorelink_core::CustomerName;

use crate::admission::WorkId;

/// One start in this many goes to another priority than the first.
const STARTS_PER_TURN: u32 = 10;
/// One place in this many of a full queue is open to lower priorities. Without places, the turns of
/// lower priorities would find no work.
const PLACES_PER_RESERVED: usize = 10;
/// Service time that an account may catch up after it used less than its share. Without it, up to 2% of
/// the requests of accounts below their share are refused, when several happen to arrive together.
const MAX_CREDIT: Duration = Duration::from_secs(16);
/// Starts of known accounts after which the lane without an account has one, if it waits.
const STARTS_PER_UNKNOWN: u32 = 3;

/// Account of a lane; `None` for the lane without a known account.
type LaneAccount = Option<CustomerName>;

/// Work that waits for a slot, or is offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Id of the work.
    pub work: WorkId,
    /// Client account that the work is done for; `None` if unknown.
    pub account: Option<CustomerName>,
    /// Priority; a greater value is more important.
    pub priority: u8,
    /// Latest start to meet the objective, as time since the start of the daemon. The work is late
    /// after it. `None` if the work is late already.
    pub objective_start: Option<Duration>,
    /// Latest start to meet the deadline, as time since the start of the daemon.
    pub deadline_start: Duration,
    /// Expected service time.
    pub cost: Duration,
}

impl QueueEntry {
    fn key(&self, sequence: u64) -> LaneKey {
        LaneKey {
            is_late: self.objective_start.is_none(),
            latest_start: self.objective_start.unwrap_or(self.deadline_start),
            sequence,
        }
    }
}

/// Order of work within a lane: in time before late, then latest start, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    is_late: bool,
    latest_start: Duration,
    sequence: u64,
}

/// Lane of one account within one priority.
#[derive(Debug, Default)]
struct AccountLane {
    queued: BTreeMap<LaneKey, QueueEntry>,
    /// Expected service time of the queued work that is in time.
    cost_in_time: Duration,
    /// Expected service time of the queued late work.
    cost_late: Duration,
    /// Number and expected service time of the running work.
    running: u32,
    cost_running: Duration,
    /// Start tag of the next work of the lane.
    virtual_time: Duration,
}

impl AccountLane {
    fn insert(&mut self, key: LaneKey, entry: QueueEntry) {
        *self.cost_mut(key.is_late) += entry.cost;
        self.queued.insert(key, entry);
    }

    fn remove(&mut self, key: &LaneKey) -> Option<QueueEntry> {
        let entry = self.queued.remove(key)?;
        let cost = self.cost_mut(key.is_late);
        *cost = cost.saturating_sub(entry.cost);
        Some(entry)
    }

    fn cost_mut(&mut self, is_late: bool) -> &mut Duration {
        if is_late {
            &mut self.cost_late
        } else {
            &mut self.cost_in_time
        }
    }

    /// Returns the expected service time of the queued work that is no later than the given tier.
    fn queued_cost(&self, with_late: bool) -> Duration {
        if with_late {
            self.cost_in_time + self.cost_late
        } else {
            self.cost_in_time
        }
    }

    /// Returns the expected service time of all work that waits or runs.
    fn open_cost(&self) -> Duration {
        self.queued_cost(true) + self.cost_running
    }

    fn first_key(&self, is_late: bool) -> Option<LaneKey> {
        let first = self.queued.first_key_value();
        first
            .map(|(key, _)| *key)
            .filter(|key| key.is_late == is_late)
    }

    /// Returns the newest work, late work before work in time.
    fn newest(&self) -> Option<(LaneKey, WorkId)> {
        let queued = self.queued.iter();
        let newest = queued.max_by_key(|(key, _)| (key.is_late, key.sequence));
        newest.map(|(key, entry)| (*key, entry.work))
    }

    /// Returns the expected service time of the work of this lane that starts before work of
    /// another lane with the given start tag and cost.
    fn cost_ahead(&self, start_tag: Duration, cost: Duration) -> Duration {
        if self.virtual_time > start_tag {
            return Duration::ZERO;
        }
        // The lane also starts the work that passes the start tag of the offer.
        let until_tag = start_tag.saturating_sub(self.virtual_time);
        self.queued_cost(true).min(until_tag + cost)
    }

    fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.running == 0
    }
}

/// Lanes of one priority.
#[derive(Debug, Default)]
struct PriorityLanes {
    lanes: BTreeMap<LaneAccount, AccountLane>,
    /// Start tag of the work that was started last.
    virtual_time: Duration,
    queued: usize,
    /// Time since which the priority has waited for a start.
    waits_since: Duration,
    /// Starts of known accounts since the last start without an account.
    known_starts: u32,
}

impl PriorityLanes {
    /// Returns the number of accounts that a lane stands for when the queue is full.
    fn weight(&self, account: &LaneAccount) -> f64 {
        if account.is_some() {
            return 1.0;
        }
        let waiting = self.lanes.iter();
        let waiting = waiting.filter(|(name, lane)| name.is_some() && !lane.queued.is_empty());
        let waiting = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
        f64::max(1.0, f64::from(waiting) / f64::from(STARTS_PER_UNKNOWN))
    }

    /// Returns the lowest virtual time of a lane that gets work.
    fn lowest_virtual_time(&self) -> Duration {
        self.virtual_time.saturating_sub(MAX_CREDIT)
    }

    fn lane_mut(&mut self, account: &LaneAccount) -> &mut AccountLane {
        let lowest = self.lowest_virtual_time();
        let lane = self.lanes.entry(account.clone()).or_default();
        lane.virtual_time = lane.virtual_time.max(lowest);
        lane
    }

    /// Returns the lane whose work goes next.
    fn next_lane(&self) -> Option<(&LaneAccount, LaneKey)> {
        if let Some(next) = self.unknown_turn() {
            return Some(next);
        }
        let lanes = self.lanes.iter();
        let first = lanes.filter_map(|(account, lane)| {
            let (key, _) = lane.queued.first_key_value()?;
            Some((lane.virtual_time, *key, account))
        });
        first.min().map(|(_, key, account)| (account, key))
    }

    /// Returns the lane without an account if it waits and has a start out of turn.
    fn unknown_turn(&self) -> Option<(&LaneAccount, LaneKey)> {
        let (account, lane) = self.lanes.get_key_value(&None)?;
        let (key, _) = lane.queued.first_key_value()?;
        (self.known_starts >= STARTS_PER_UNKNOWN).then_some((account, *key))
    }

    fn has_work_in_time(&self) -> bool {
        let mut lanes = self.lanes.values();
        lanes.any(|lane| lane.first_key(false).is_some())
    }

    /// Counts work as running and charges its expected service time to its lane. A start out of turn
    /// is not charged.
    fn started(&mut self, account: &LaneAccount, cost: Duration, out_of_turn: bool) {
        self.known_starts = if account.is_none() {
            0
        } else {
            self.known_starts.saturating_add(1)
        };
        let lane = self.lane_mut(account);
        lane.running += 1;
        lane.cost_running += cost;
        if out_of_turn {
            return;
        }
        let tag = lane.virtual_time;
        lane.virtual_time += cost;
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Drops the lanes without work that would get the lowest virtual time on their return. Others stay,
    /// since their accounts would otherwise return without the service time that they have used. If no
    /// lane has work, all are dropped: nobody is waiting, so nobody has a
    /// claim.
    fn drop_empty(&mut self) {
        let lowest = self.lowest_virtual_time();
        if self.lanes.values().all(AccountLane::is_empty) {
            self.lanes.clear();
            return;
        }
        self.lanes
            .retain(|_, lane| !lane.is_empty() || lane.virtual_time > lowest);
    }

    /// Returns the open service time of an account, relative to its weight.
    fn usage(&self, account: &LaneAccount) -> Duration {
        let cost = self.lanes.get(account).map(AccountLane::open_cost);
        cost.unwrap_or_default().div_f64(self.weight(account))
    }

    /// Returns the usage up to which all accounts, and an offer, fit into `budget` of service time: the
    /// accounts below it fit completely, and those above it share the rest equally.
    fn share(&self, offer: &QueueEntry, budget: Duration) -> Duration {
        let mut usages: Vec<(Duration, f64)> = self
            .lanes
            .keys()
            .filter(|account| **account != offer.account)
            .map(|account| (self.usage(account), self.weight(account)))
            .collect();
        usages.push((self.usage_with(offer), self.weight(&offer.account)));
        usages.sort_by_key(|(usage, _)| *usage);
        let mut weight: f64 = usages.iter().map(|(_, weight)| weight).sum();
        let mut left = budget;
        for (usage, own_weight) in usages {
            let equal = left.div_f64(weight.max(1.0));
            if usage > equal {
                return equal;
            }
            left = left.saturating_sub(usage.mul_f64(own_weight));
            weight -= own_weight;
        }
        Duration::MAX
    }

    /// Returns the usage of an offer's account if the offer is queued.
    fn usage_with(&self, offer: &QueueEntry) -> Duration {
        let offered = offer.cost.div_f64(self.weight(&offer.account));
        self.usage(&offer.account) + offered
    }

    /// Returns the account with queued work whose usage is greatest.
    fn most_used(&self) -> Option<(&LaneAccount, Duration)> {
        let waiting = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.queued.is_empty());
        let usages = waiting.map(|(account, _)| (account, self.usage(account)));
        usages.max_by_key(|(_, usage)| *usage)
    }

    /// Returns the expected service time of the work that starts before an offer in its own lane.
    fn own_cost_ahead(&self, offer: &QueueEntry, key: &LaneKey) -> Duration {
        let Some(lane) = self.lanes.get(&offer.account) else {
            return Duration::ZERO;
        };
        let ahead = lane.queued.range(..key);
        ahead.map(|(_, queued)| queued.cost).sum()
    }

    /// Returns the start tag of an offer behind `own_ahead` of service time in its own lane.
    fn start_tag(&self, offer: &QueueEntry, own_ahead: Duration) -> Duration {
        let own = self.lanes.get(&offer.account);
        let own_tag = own.map_or(Duration::ZERO, |lane| lane.virtual_time);
        own_tag.max(self.lowest_virtual_time()) + own_ahead
    }
}

/// Queued work that may start before work of one account, priority and lateness.
#[derive(Debug)]
struct WorkAhead<'a> {
    /// Start tag behind no work of the own lane.
    first_tag: Duration,
    is_unknown: bool,
    /// Lanes of the other known accounts of the priority.
    known: Vec<&'a AccountLane>,
    /// Lane without an account, if it is another one.
    unknown: Option<&'a AccountLane>,
    /// Expected service time of the work of other priorities that starts before.
    other_first: Duration,
    /// Expected service time of the remaining work of other priorities.
    other: Duration,
}

impl WorkAhead<'_> {
    /// Returns the expected service time of the work that starts before work of the given cost behind
    /// `own` of service time in its own lane.
    fn cost(&self, own: Duration, cost: Duration) -> Duration {
        let first = self.other_first + self.cost_in_priority(own, cost);
        first + self.other.min(first / (STARTS_PER_TURN - 1))
    }

    fn cost_in_priority(&self, own: Duration, cost: Duration) -> Duration {
        let start_tag = self.first_tag + own;
        let known = self.known.iter();
        let known: Duration = known.map(|lane| lane.cost_ahead(start_tag, cost)).sum();
        if self.is_unknown {
            return own + known.min((own + cost) * STARTS_PER_UNKNOWN);
        }
        let unknown = self.unknown.map_or(Duration::ZERO, |lane| {
            let out_of_turn = (own + known) / STARTS_PER_UNKNOWN;
            let in_turn = lane.cost_ahead(start_tag, cost);
            lane.queued_cost(true).min(in_turn.max(out_of_turn))
        });
        own + known + unknown
    }
}

#[derive(Clone, Debug)]
struct RunningWork {
    account: LaneAccount,
    priority: u8,
    cost: Duration,
    out_of_turn: bool,
}

/// Queue of one gate, shared fairly among client accounts.
///
/// All times are durations since the start of the daemon. Work is started by [`Self::pop`] or
/// [`Self::started`] and ends by [`Self::ended`].
#[derive(Debug)]
pub struct FairQueue {
    capacity: usize,
    priorities: BTreeMap<u8, PriorityLanes>,
    places: BTreeMap<WorkId, (u8, LaneAccount, LaneKey)>,
    running: BTreeMap<WorkId, RunningWork>,
    sequence: u64,
    /// Starts since the last turn of another priority, while one was waiting.
    starts: u32,
}

impl FairQueue {
    /// Creates a queue for at most `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            priorities: BTreeMap::new(),
            places: BTreeMap::new(),
            running: BTreeMap::new(),
            sequence: 0,
            starts: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether the queue holds as many requests as it may.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Returns whether this work is queued.
    #[must_use]
    pub fn contains(&self, work: WorkId) -> bool {
        self.places.contains_key(&work)
    }

    /// Returns the number of accounts and priorities of which the queue keeps state.
    #[must_use]
    pub fn lane_count(&self) -> usize {
        self.priorities
            .values()
            .map(|lanes| lanes.lanes.len())
            .sum()
    }

    /// Adds work to the queue. Returns false and changes nothing if the queue is full, or if the work
    /// is queued or running.
    pub fn push(&mut self, now: Duration, entry: QueueEntry) -> bool {
        let work = entry.work;
        if self.is_full() || self.contains(work) || self.running.contains_key(&work) {
            return false;
        }
        self.sequence += 1;
        let key = entry.key(self.sequence);
        let place = (entry.priority, entry.account.clone(), key);
        let lanes = self.priorities.entry(entry.priority).or_default();
        if lanes.queued == 0 {
            lanes.waits_since = now;
        }
        lanes.queued += 1;
        lanes.lane_mut(&entry.account).insert(key, entry);
        self.places.insert(work, place);
        true
    }

    /// Removes queued work and returns it; `None` if the work is not queued.
    pub fn remove(&mut self, work: WorkId) -> Option<QueueEntry> {
        let (priority, account, key) = self.places.remove(&work)?;
        let lanes = self.priorities.get_mut(&priority)?;
        let entry = lanes.lanes.get_mut(&account)?.remove(&key)?;
        lanes.queued -= 1;
        self.drop_empty(priority);
        Some(entry)
    }

    /// Removes the next work from the queue and counts it as running.
    ///
    /// [`Self::expire`] must be called before with the same time.
    pub fn pop(&mut self, now: Duration) -> Option<QueueEntry> {
        let first = self.first_priority()?;
        let waiting = self.priorities.iter().filter(|(_, lanes)| lanes.queued > 0);
        let others = waiting.filter(|(priority, _)| **priority != first);
        let longest = others.min_by_key(|(_, lanes)| lanes.waits_since);
        let mut priority = first;
        if let Some((other, _)) = longest {
            self.starts += 1;
            if self.starts >= STARTS_PER_TURN {
                self.starts = 0;
                priority = *other;
            }
        }
        let lanes = self.priorities.get_mut(&priority)?;
        let out_of_turn = lanes.unknown_turn().is_some();
        let next = lanes.next_lane();
        let (account, key) = next.map(|(account, key)| (account.clone(), key))?;
        let entry = lanes.lanes.get_mut(&account)?.remove(&key)?;
        lanes.queued -= 1;
        lanes.waits_since = now;
        self.places.remove(&entry.work);
        self.start(&entry, out_of_turn);
        Some(entry)
    }

    /// Counts work as running that was not queued, and charges its account.
    pub fn started(&mut self, entry: &QueueEntry) {
        self.start(entry, false);
    }

    fn start(&mut self, entry: &QueueEntry, out_of_turn: bool) {
        let lanes = self.priorities.entry(entry.priority).or_default();
        lanes.started(&entry.account, entry.cost, out_of_turn);
        let run = RunningWork {
            account: entry.account.clone(),
            priority: entry.priority,
            cost: entry.cost,
            out_of_turn,
        };
        self.running.insert(entry.work, run);
    }

    /// Counts the end of running work and corrects the charge to the service time that it took. Work
    /// that does not run is ignored.
    ///
    /// The correction does not move a lane below the common virtual time. Otherwise its account would
    /// get ahead of one that has just arrived.
    pub fn ended(&mut self, work: WorkId, service_time: Duration) {
        let Some(run) = self.running.remove(&work) else {
            return;
        };
        let Some(lanes) = self.priorities.get_mut(&run.priority) else {
            return;
        };
        let lowest = lanes.lowest_virtual_time();
        if let Some(lane) = lanes.lanes.get_mut(&run.account) {
            lane.running = lane.running.saturating_sub(1);
            lane.cost_running = lane.cost_running.saturating_sub(run.cost);
            if !run.out_of_turn {
                let corrected = (lane.virtual_time + service_time).saturating_sub(run.cost);
                lane.virtual_time = corrected.max(lowest.min(lane.virtual_time));
            }
        }
        self.drop_empty(run.priority);
    }

    /// Makes work late whose objective can no longer be met, and removes work whose deadline can no
    /// longer be met. Appends the ids of removed work to `expired`.
    pub fn expire(&mut self, now: Duration, expired: &mut Vec<WorkId>) {
        for (priority, lanes) in &mut self.priorities {
            for (account, lane) in &mut lanes.lanes {
                while let Some(key) = lane.first_key(false).filter(|key| key.latest_start < now) {
                    let Some(mut entry) = lane.remove(&key) else {
                        break;
                    };
                    entry.objective_start = None;
                    let late = entry.key(key.sequence);
                    self.places
                        .insert(entry.work, (*priority, account.clone(), late));
                    lane.insert(late, entry);
                }
                let missed = lane.queued.iter();
                let missed =
                    missed.filter(|(key, entry)| key.is_late && entry.deadline_start < now);
                expired.extend(missed.map(|(_, entry)| entry.work));
            }
        }
        for work in expired.iter() {
            self.remove(*work);
        }
    }

    /// Returns the expected service time of the work that starts before an offer if it is queued now.
    /// Divided by the number of slots, this is its expected wait behind the current runs.
    #[must_use]
    pub fn cost_ahead(&self, offer: &QueueEntry) -> Duration {
        let lanes = self.priorities.get(&offer.priority);
        let own = lanes.map(|lanes| lanes.own_cost_ahead(offer, &offer.key(u64::MAX)));
        self.work_ahead(offer)
            .cost(own.unwrap_or_default(), offer.cost)
    }

    fn work_ahead(&self, offer: &QueueEntry) -> WorkAhead<'_> {
        let is_late = offer.objective_start.is_none();
        let mut work = WorkAhead {
            first_tag: Duration::ZERO,
            is_unknown: offer.account.is_none(),
            known: Vec::new(),
            unknown: None,
            other_first: Duration::ZERO,
            other: Duration::ZERO,
        };
        for (priority, lanes) in &self.priorities {
            if *priority == offer.priority {
                work.first_tag = lanes.start_tag(offer, Duration::ZERO);
                for (account, lane) in &lanes.lanes {
                    if *account == offer.account || lane.queued.is_empty() {
                        continue;
                    }
                    if account.is_some() {
                        work.known.push(lane);
                    } else {
                        work.unknown = Some(lane);
                    }
                }
                continue;
            }
            for lane in lanes.lanes.values() {
                let with_late = is_late && *priority > offer.priority;
                let ahead = if is_late || *priority > offer.priority {
                    lane.queued_cost(with_late)
                } else {
                    Duration::ZERO
                };
                work.other_first += ahead;
                work.other += lane.queued_cost(true).saturating_sub(ahead);
            }
        }
        work
    }

    /// Returns the number of requests that start before an offer in its own lane.
    #[must_use]
    pub fn count_ahead_in_lane(&self, offer: &QueueEntry) -> usize {
        let lane = self.lane_of(offer);
        lane.map_or(0, |lane| lane.queued.range(..offer.key(u64::MAX)).count())
    }

    /// Returns the queued work of the offer's own lane that starts after the offer, in order, each with
    /// the expected service time of the work that starts before it now. Late work behind an offer in
    /// time is left out.
    pub fn costs_behind(
        &self,
        offer: &QueueEntry,
    ) -> impl Iterator<Item = (&QueueEntry, Duration)> {
        let first = offer.key(u64::MAX);
        let lane = self.lane_of(offer);
        // Collected once. With a call of `cost_ahead` for each entry, an offer would take time with the
        // square of the queue.
        let work_ahead = self.work_ahead(offer);
        let mut own = Duration::ZERO;
        if let Some(lane) = lane {
            own = lane
                .queued
                .range(..first)
                .map(|(_, entry)| entry.cost)
                .sum();
        }
        let behind = lane.into_iter();
        let behind = behind.flat_map(move |lane| lane.queued.range(first..));
        let behind = behind.take_while(move |(key, _)| key.is_late == first.is_late);
        behind.map(move |(_, entry)| {
            // The work itself is queued ahead of an offer with the same properties.
            own += entry.cost;
            let cost = work_ahead.cost(own, entry.cost);
            (entry, cost.saturating_sub(entry.cost))
        })
    }

    /// Returns by how much the start tag of an offer exceeds the virtual time of its priority. Zero if
    /// the offer's account has used no more than its share, including the work of its lane that starts
    /// before the offer.
    #[must_use]
    pub fn lead(&self, offer: &QueueEntry) -> Duration {
        let Some(lanes) = self.priorities.get(&offer.priority) else {
            return Duration::ZERO;
        };
        let own_ahead = lanes.own_cost_ahead(offer, &offer.key(u64::MAX));
        let start_tag = lanes.start_tag(offer, own_ahead);
        start_tag.saturating_sub(lanes.virtual_time)
    }

    fn lane_of(&self, offer: &QueueEntry) -> Option<&AccountLane> {
        let lanes = self.priorities.get(&offer.priority)?;
        lanes.lanes.get(&offer.account)
    }

    /// Updates the times and the expected service time of queued work, which keeps its account,
    /// priority and order of arrival. Work that is not queued is ignored.
    pub fn update(&mut self, entry: QueueEntry) {
        let Some((priority, account, key)) = self.places.get_mut(&entry.work) else {
            return;
        };
        let lanes = self.priorities.get_mut(priority);
        let Some(lane) = lanes.and_then(|lanes| lanes.lanes.get_mut(account)) else {
            return;
        };
        lane.remove(key);
        *key = entry.key(key.sequence);
        lane.insert(*key, entry);
    }

    /// Returns the queued work to remove so that an offer has a place in the full queue; `None` if the
    /// offer is to be refused instead.
    ///
    /// The work is the newest of the account most above its share, late work first, in the lowest
    /// priority that holds more than its reserved places. The offer is refused if its own account is
    /// the one most above its share, unless the account has late work and the offer is in time.
    #[must_use]
    pub fn displaced_by(&self, offer: &QueueEntry) -> Option<WorkId> {
        let priority = self.crowded_priority(offer.priority)?;
        let lanes = self.priorities.get(&priority)?;
        let (account, usage) = lanes.most_used()?;
        let newest = |account| lanes.lanes.get(account).and_then(AccountLane::newest);
        if priority != offer.priority {
            return newest(account).map(|(_, work)| work);
        }
        if *account != offer.account && usage > lanes.usage_with(offer) {
            return newest(account).map(|(_, work)| work);
        }
        let (key, work) = newest(&offer.account)?;
        (key.is_late && offer.objective_start.is_some()).then_some(work)
    }

    /// Returns the queued work to remove so that the cost ahead of an offer is at most `max_ahead`. It
    /// belongs to accounts above their share, the newest work first. Empty if the offer's account is
    /// above its share itself, or if removing such work does not suffice.
    ///
    /// The share is the equal part of the service time that is available until then: accounts that need
    /// less leave the rest to the others. The order of the lanes already starts an account below its
    /// share before the surplus of others, so there is work to remove only if the account has used
    /// more than expected before.
    #[must_use]
    pub fn displaced_for(&self, offer: &QueueEntry, max_ahead: Duration) -> Vec<WorkId> {
        let mut displaced = Vec::new();
        let Some(lanes) = self.priorities.get(&offer.priority) else {
            return displaced;
        };
        let running: Duration = lanes.lanes.values().map(|lane| lane.cost_running).sum();
        let share = lanes.share(offer, max_ahead + running + offer.cost);
        if lanes.usage_with(offer) > share {
            return displaced;
        }
        let mut excess = self.cost_ahead(offer).saturating_sub(max_ahead);
        let key = offer.key(u64::MAX);
        let start_tag = lanes.start_tag(offer, lanes.own_cost_ahead(offer, &key));
        let others = lanes.lanes.iter();
        let others = others.filter(|(account, _)| **account != offer.account);
        let mut above: Vec<(Duration, &LaneAccount, &AccountLane)> = others
            .map(|(account, lane)| (lanes.usage(account), account, lane))
            .filter(|(usage, _, _)| *usage > share)
            .collect();
        above.sort_by_key(|(usage, account, _)| (std::cmp::Reverse(*usage), *account));
        for (usage, account, lane) in above {
            let weight = lanes.weight(account);
            let mut surplus = usage.saturating_sub(share).mul_f64(weight);
            // Work of the lane that starts after the offer has to go first, without an effect.
            let counted = lane.cost_ahead(start_tag, offer.cost);
            let mut uncounted = lane.queued_cost(true).saturating_sub(counted);
            let mut entries: Vec<_> = lane.queued.iter().collect();
            entries.sort_by_key(|(key, _)| std::cmp::Reverse((key.is_late, key.sequence)));
            for (_, entry) in entries {
                if excess.is_zero() || surplus.is_zero() {
                    break;
                }
                surplus = surplus.saturating_sub(entry.cost);
                displaced.push(entry.work);
                excess = excess.saturating_sub(entry.cost.saturating_sub(uncounted));
                uncounted = uncounted.saturating_sub(entry.cost);
            }
        }
        if !excess.is_zero() {
            displaced.clear();
        }
        displaced
    }

    /// Returns the priority that goes first: the highest with work in time, otherwise the highest with
    /// late work.
    fn first_priority(&self) -> Option<u8> {
        let waiting = self.priorities.iter().rev();
        let mut waiting = waiting.filter(|(_, lanes)| lanes.queued > 0);
        let in_time = waiting.clone().find(|(_, lanes)| lanes.has_work_in_time());
        in_time
            .or_else(|| waiting.next())
            .map(|(priority, _)| *priority)
    }

    /// Returns the priority that loses a place to an offer of the given priority; `None` if the offer
    /// has to be refused.
    ///
    /// The priorities below the highest have a tenth of the places, in equal parts. Beyond these parts,
    /// the lowest priority loses, or else that of the offer. Without a part of its own, the lowest of three priorities would lose
    /// each place to the middle one and never start.
    fn crowded_priority(&self, offered: u8) -> Option<u8> {
        let waiting = self.priorities.iter().filter(|(_, lanes)| lanes.queued > 0);
        let waiting: BTreeMap<u8, usize> = waiting
            .map(|(priority, lanes)| (*priority, lanes.queued))
            .collect();
        let (&highest, &queued) = waiting.last_key_value()?;
        let below = self.len() - queued;
        let reserved = self.capacity / PLACES_PER_RESERVED;
        let highest_loses = if offered == highest {
            below <= reserved
        } else {
            offered < highest && below < reserved
        };
        if highest_loses {
            return Some(highest);
        }
        let top = highest.max(offered);
        let others = waiting.keys().filter(|priority| **priority != offered);
        let lower = others.filter(|priority| **priority < top).count();
        let lower = lower + usize::from(offered < top);
        let part = reserved / lower.max(1);
        let offered_queued = waiting.get(&offered).copied().unwrap_or(0);
        let mut losing = waiting.range(..top).filter(|(_, queued)| **queued > part);
        let lowest = losing.next().map(|(lowest, _)| *lowest);
        let lowest = lowest.filter(|lowest| *lowest <= offered || offered_queued < part);
        Some(lowest.unwrap_or(offered))
    }

    fn drop_empty(&mut self, priority: u8) {
        if let Some(lanes) = self.priorities.get_mut(&priority) {
            lanes.drop_empty();
            if lanes.lanes.is_empty() {
                self.priorities.remove(&priority);
            }
        }
    }
}
