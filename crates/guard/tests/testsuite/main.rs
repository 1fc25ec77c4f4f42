//! Tests of the at-most-once guard.

mod engine;
mod faults;
mod fleet;
mod losses;
mod oracle;
mod random;
mod sends;
mod session;
mod shares;
mod trace_text;
