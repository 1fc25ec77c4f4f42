//! Incarnations of backend servers that announce themselves in one place.
//!
//! An announcement may arrive seconds late, after its sender has crashed and the next incarnation has
//! announced itself. The order of arrival does not show which of the two runs, and neither does the
//! number of announcements. What decides, the first that applies:
//!
//! 1. An incarnation that announced or withdrew its own end has ended.
//! 2. Of two incarnations with one name, the one that started later runs.
//! 3. A service that is not in force needs no server.
//! 4. The server itself: it rejects work for any other incarnation than its own.
//! 5. An incarnation that was not heard before is usually the next one, unless it started earlier by
//!    the time of day, which may have been set back.
//! 6. An incarnation that goes on announcing itself, while the current one is silent, runs.
//!
//! Only the first is final. After any other decision the incarnation stays a rival, and the next work
//! or announcement can reverse it.

use std::time::Duration;

use sycamorelink_limits::{PermitBucket, RepeatBooks};

use crate::event::{LifeId, UpstreamAnnouncement};
use crate::leaving::{life_of, order_of};
use crate::local_upstream::LocalUpstream;
use crate::server_notices::ServerLimit;

/// Maximum number of rivals remembered per backend server.
const MAX_RIVALS: usize = 8;
/// Announcements of a rival, while the current incarnation is silent, after which it runs.
const REQUIRED_ANNOUNCEMENTS: u32 = 2;
/// Least time between two announcements that are counted. Delayed ones arrive together.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Reason for which an incarnation takes the place of the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverReason {
    /// The current incarnation withdrew, lapsed, crashed or was rejected.
    Vacant,
    /// It has the name of the current one and started later.
    LaterStart,
    /// The service of the current incarnation is not in force.
    ServiceInForce,
    /// It was not heard before.
    Unknown,
    /// It goes on announcing itself while the current one is silent.
    Repeated,
    /// The server rejected work for the current one.
    Rejected,
}

impl TakeoverReason {
    /// Returns the reason as it is logged.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Vacant => "vacant",
            Self::LaterStart => "later-start",
            Self::ServiceInForce => "service-in-force",
            Self::Unknown => "unknown",
            Self::Repeated => "repeated",
            Self::Rejected => "rejected",
        }
    }
}

/// What an incarnation keeps while another one is the current one.
#[derive(Debug, Default)]
pub(crate) struct KeptState {
    /// Limit that the server had named, with its permits.
    pub(crate) limit: Option<(ServerLimit, PermitBucket)>,
    /// Budget of repeats of its service, unless the other one serves that too.
    pub(crate) repeats: Option<RepeatBooks>,
}

/// An incarnation that announced itself and is not the current one.
#[derive(Debug)]
struct RivalLife {
    /// Its newest announcement.
    announced: UpstreamAnnouncement,
    /// Time at which the announcement expires.
    expires_at: Duration,
    kept: KeptState,
    /// Whether the server rejected work for it.
    rejected: bool,
    /// Announcements counted since the current incarnation was last heard.
    announcements: u32,
    /// When an announcement was last counted.
    counted_at: Option<Duration>,
}

/// The rivals of the current incarnation; the one heard last comes last.
#[derive(Debug, Default)]
pub(crate) struct RivalLives {
    lives: Vec<RivalLife>,
}

impl RivalLives {
    /// Adds the current incarnation of `known`, which another one displaces. Returns what the other
    /// one has kept.
    pub(crate) fn displace(
        &mut self,
        known: &mut LocalUpstream,
        next: Option<&LifeId>,
    ) -> KeptState {
        let rival = next.and_then(|next| self.remove(next));
        let kept = rival.map(|rival| rival.kept).unwrap_or_default();
        if let Some(former) = known.life_id()
            && next.is_none_or(|next| !former.is_earlier_than(next))
            && !known.ended_lives.contains(&former)
        {
            let former = KeptState {
                limit: known.take_limit(),
                repeats: known.repeats.take(),
            };
            let former = RivalLife::new(known.announced.clone(), known.expires_at, former);
            self.push(former);
        }
        kept
    }

    fn push(&mut self, rival: RivalLife) {
        self.lives.push(rival);
        if self.lives.len() > MAX_RIVALS {
            self.lives.remove(0);
        }
    }

    /// Records an announcement that is not outdated. Returns the reason for which its sender takes
    /// the place of the current incarnation; `None` if it does not.
    fn count(
        &mut self,
        now: Duration,
        claim: RivalClaim<'_>,
        started_earlier: bool,
    ) -> Option<TakeoverReason> {
        let (announced, expires_at) = (claim.announced, claim.expires_at);
        let index = self.lives.iter().position(|rival| rival.is_of(announced));
        let mut rival = match index {
            Some(index) => self.lives.remove(index),
            None if started_earlier => {
                RivalLife::new(announced.clone(), expires_at, KeptState::default())
            }
            None => return Some(TakeoverReason::Unknown),
        };
        rival.announced = announced.clone();
        rival.expires_at = expires_at;
        rival.count(now);
        let is_repeated = rival.announcements >= REQUIRED_ANNOUNCEMENTS;
        self.push(rival);
        is_repeated.then_some(TakeoverReason::Repeated)
    }

    /// Returns whether an announcement arrived after a newer one of its sender.
    fn is_outdated(&self, announced: &UpstreamAnnouncement) -> bool {
        let mut senders = self.lives.iter().filter(|rival| rival.is_of(announced));
        senders.any(|rival| order_of(announced) <= order_of(&rival.announced))
    }

    /// Starts the count of announcements again, since the current incarnation was heard.
    pub(crate) fn restart_counts(&mut self) {
        for rival in &mut self.lives {
            rival.announcements = 0;
            rival.counted_at = None;
        }
    }

    /// Records that the server rejected work for an incarnation.
    pub(crate) fn reject(&mut self, id: &LifeId) {
        let mut lives = self.lives.iter_mut();
        if let Some(rival) = lives.find(|rival| life_of(&rival.announced) == Some(id)) {
            rival.rejected = true;
        }
    }

    /// Returns the newest announcement of the rival that was heard last, of those that have not
    /// expired and that the server did not reject.
    pub(crate) fn latest(&self, now: Duration) -> Option<&UpstreamAnnouncement> {
        let mut lives = self.lives.iter().rev();
        let latest = lives.find(|rival| !rival.rejected && now < rival.expires_at)?;
        Some(&latest.announced)
    }

    /// Removes the incarnations that an identity refers to.
    pub(crate) fn remove_matching(&mut self, id: &LifeId) {
        self.lives
            .retain(|rival| !life_of(&rival.announced).is_some_and(|life| id.matches(life)));
    }

    fn remove(&mut self, id: &LifeId) -> Option<RivalLife> {
        let mut lives = self.lives.iter();
        let index = lives.position(|rival| life_of(&rival.announced) == Some(id))?;
        Some(self.lives.remove(index))
    }
}

impl RivalLife {
    fn new(announced: UpstreamAnnouncement, expires_at: Duration, kept: KeptState) -> Self {
        Self {
            announced,
            expires_at,
            kept,
            rejected: false,
            announcements: 0,
            counted_at: None,
        }
    }

    fn is_of(&self, announced: &UpstreamAnnouncement) -> bool {
        life_of(&self.announced) == life_of(announced)
    }

    fn count(&mut self, now: Duration) {
        let counted_at = self.counted_at;
        if counted_at.is_none_or(|counted_at| now >= counted_at + COUNT_INTERVAL) {
            self.announcements += 1;
            self.counted_at = Some(now);
        }
    }
}

fn started_at(announced: &UpstreamAnnouncement) -> Option<Duration> {
    life_of(announced)?.started
}

/// Announcement of another incarnation than the current one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RivalClaim<'a> {
    pub(crate) announced: &'a UpstreamAnnouncement,
    /// Time at which the announcement expires.
    pub(crate) expires_at: Duration,
    /// Whether the announced service is in force.
    pub(crate) is_in_force: bool,
    /// Whether the service of the current incarnation is in force.
    pub(crate) is_current_in_force: bool,
}

impl LocalUpstream {
    /// Returns the reason for which another incarnation takes the place of the current one; `None` if
    /// it does not.
    pub(crate) fn judge_rival(
        &mut self,
        now: Duration,
        claim: RivalClaim<'_>,
    ) -> Option<TakeoverReason> {
        let announced = claim.announced;
        if self.rivals.is_outdated(announced) {
            return None;
        }
        if !self.available {
            return Some(TakeoverReason::Vacant);
        }
        if let (Some(current), Some(next)) = (self.life_id(), life_of(announced)) {
            if current.is_earlier_than(next) {
                return Some(TakeoverReason::LaterStart);
            }
            if next.is_earlier_than(&current) {
                return None;
            }
        }
        match (claim.is_current_in_force, claim.is_in_force) {
            (true, false) => None,
            (false, true) => Some(TakeoverReason::ServiceInForce),
            _ => {
                let started_earlier = started_at(announced) < started_at(&self.announced);
                self.rivals.count(now, claim, started_earlier)
            }
        }
    }
}
