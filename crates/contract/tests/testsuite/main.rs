//! Integration tests of the contract package.

mod access;
mod carry;
mod changes;
mod common;
mod content;
mod diffs;
mod findings;
mod fleet_patch;
mod peers;
mod reference;
mod replay_agreement;
mod samples;
mod table;
