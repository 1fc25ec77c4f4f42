//! Texts of the catalogue, one file per group, joined and checked at compile time.

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
pub(super) static CATALOGUE: [EventEntry; COUNT] = join_groups();

/// Joins the groups. A missing entry or a wrong order does not compile.
const fn join_groups() -> [EventEntry; COUNT] {
    let mut joined = [GROUPS[0][0]; COUNT];
    let mut next = 0;
    let mut group = 0;
    while group < GROUPS.len() {
        let mut index_in_group = 0;
        while index_in_group < GROUPS[group].len() {
            let entry = GROUPS[group][index_in_group];
            assert!(entry.code.index() == next, "an entry is out of order");
            joined[next] = entry;
            next += 1;
            index_in_group += 1;
        }
        group += 1;
    }
    assert!(next == COUNT, "a code has no entry");
    joined
}
