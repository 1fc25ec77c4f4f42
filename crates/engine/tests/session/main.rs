//! Sessions of simulated fleets with virtual time. Some compare the exact order of events and
//! commands with a snapshot, others inject random faults and check invariants after each step.

mod announcements;
mod attribution;
mod audit;
mod caller_queue;
mod capacity;
mod contract_spread;
mod draining;
mod fair_queueing;
mod faults;
mod fleet_contract;
mod joining;
mod leaving;
mod overload_queue;
mod overload_status;
mod regressions;
mod repeat_bound;
mod repeat_loans;
mod scenarios;
mod server_limit;
mod server_speed;
mod world;
