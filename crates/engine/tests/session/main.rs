//! Golden sessions of whole fleets: events and commands in order, with virtual time; and faults
//! put together by chance, with what must hold checked after each step.

mod audit;
mod contract_spread;
mod faults;
mod fleet_form;
mod found;
mod joining;
mod leaving;
mod repeat_bound;
mod scenes;
mod world;
