//! Entries of the event catalogue.

use std::fmt;

use super::entries::CATALOGUE;
use super::{EventCode, EventLevel};

/// Note shown with reserved entries.
pub(super) const RESERVED_TEXT: &str = "No daemon of this version raises it.";

/// Entry of an event in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventEntry {
    /// Code of the event.
    pub code: EventCode,
    /// Whether no code raises the event yet. Its number and meaning are reserved.
    pub reserved: bool,
    /// Meaning of the event, in full sentences.
    pub meaning: &'static str,
    /// Action for operators, in full sentences.
    pub action: &'static str,
}

impl EventEntry {
    /// Returns every entry, sorted by number.
    #[must_use]
    pub fn all() -> &'static [Self] {
        &CATALOGUE
    }

    /// Returns the level of the event.
    #[must_use]
    pub const fn level(&self) -> EventLevel {
        self.code.level()
    }
}

impl EventCode {
    /// Returns the entry of the event in the catalogue.
    #[must_use]
    pub fn entry(self) -> &'static EventEntry {
        &CATALOGUE[self.index()]
    }

    /// Returns the subject of the event.
    #[must_use]
    pub const fn group(self) -> EventGroup {
        match self.number() / 1000 {
            1 => EventGroup::Lifecycle,
            2 => EventGroup::Requests,
            3 => EventGroup::Detection,
            4 => EventGroup::AtMostOnce,
            5 => EventGroup::Contracts,
            6 => EventGroup::Roster,
            7 => EventGroup::PlatformLog,
            8 => EventGroup::Load,
            _ => EventGroup::Peers,
        }
    }
}

impl fmt::Display for EventEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.code;
        writeln!(f, "{code} {} ({})", code.name(), code.level())?;
        if self.reserved {
            writeln!(f, "  Reserved:   {RESERVED_TEXT}")?;
        }
        writeln!(f, "  Logged as:  {}", code.message())?;
        writeln!(f, "  Meaning:    {}", self.meaning)?;
        write!(f, "  What to do: {}", self.action)
    }
}

/// Subject of an event: the thousands of its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EventGroup {
    /// 1000: start and stop of daemons and backend servers.
    Lifecycle,
    /// 2000: requests, retries and refusals.
    Requests,
    /// 3000: detection of gray failures and balancing.
    Detection,
    /// 4000: idempotency keys and at-most-once execution.
    AtMostOnce,
    /// 5000: contracts.
    Contracts,
    /// 6000: roster, the membership of the fleet.
    Roster,
    /// 7000: platform log, the service that stores contracts.
    PlatformLog,
    /// 8000: limits, overload and error budget burn.
    Load,
    /// 9000: wire protocol, peers, security and bad input.
    Peers,
}

impl EventGroup {
    /// Every group, sorted by number.
    pub const ALL: [Self; 9] = [
        Self::Lifecycle,
        Self::Requests,
        Self::Detection,
        Self::AtMostOnce,
        Self::Contracts,
        Self::Roster,
        Self::PlatformLog,
        Self::Load,
        Self::Peers,
    ];

    /// Returns the heading of the group in the documentation.
    #[must_use]
    pub const fn title(self) -> &'static str {
        match self {
            Self::Lifecycle => "Start and stop of daemons and backend servers",
            Self::Requests => "Requests, retries and refusals",
            Self::Detection => "Detection of gray failures and balancing",
            Self::AtMostOnce => "At most once",
            Self::Contracts => "Contracts",
            Self::Roster => "Roster",
            Self::PlatformLog => "Platform log",
            Self::Load => "Limits, overload and burn",
            Self::Peers => "Wire, peers, security and bad input",
        }
    }

    /// Returns the entries of the group, sorted by number.
    pub fn entries(self) -> impl Iterator<Item = &'static EventEntry> {
        CATALOGUE
            .iter()
            .filter(move |entry| entry.code.group() == self)
    }
}
