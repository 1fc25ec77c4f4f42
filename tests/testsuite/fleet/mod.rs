//! Tests of fleets that run as separate processes.

mod at_most_once;
mod contracts;
mod draining;
mod end_to_end;
mod faults;
mod half_closed_callers;
mod request_bodies;
mod slow_callers;
