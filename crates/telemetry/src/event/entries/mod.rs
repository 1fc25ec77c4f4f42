//! The texts of the catalogue, one file a group, joined and checked at compile time.

mod at_most_once;
mod contract;
mod detection;
mod lifecycle;
mod load;
mod peer;
mod platform_log;
mod request;
mod roster;

use super::{EventCode, EventEntry};

const COUNT: usize = EventCode::ALL.len();

const GROUPS: [&[EventEntry]; 9] = [
    lifecycle::ENTRIES,
    request::ENTRIES,
    detection::ENTRIES,
    at_most_once::ENTRIES,
    contract::ENTRIES,
    roster::ENTRIES,
    platform_log::ENTRIES,
    load::ENTRIES,
    peer::ENTRIES,
];

/// Every entry, in the order of [`EventCode::ALL`].
pub(super) static CATALOGUE: [EventEntry; COUNT] = join();

/// Joins the groups. A code without a text, or out of order, does not compile.
const fn join() -> [EventEntry; COUNT] {
    let mut joined = [GROUPS[0][0]; COUNT];
    let mut next = 0;
    let mut group = 0;
    while group < GROUPS.len() {
        let mut place = 0;
        while place < GROUPS[group].len() {
            let entry = GROUPS[group][place];
            assert!(entry.code.index() == next, "an entry is out of order");
            joined[next] = entry;
            next += 1;
            place += 1;
        }
        group += 1;
    }
    assert!(next == COUNT, "a code has no entry");
    joined
}
