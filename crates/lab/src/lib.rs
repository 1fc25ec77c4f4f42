//! Simulations and measurements of the decision logic.
//!
//! Each module feeds one part of the decision logic with seeded streams of the same typed events
//! that the daemon produces, and prints a table that is identical for identical seeds, apart from
//! measured times and memory. No module uses a real network or models every part of a fleet.

pub mod capacity;
pub mod shares;
pub mod situations;
