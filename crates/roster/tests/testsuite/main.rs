//! Tests of the roster: many rosters over a simulated datagram network, in virtual time.

mod budget;
mod death;
mod join;
mod leave;
mod network;
mod order;
mod session;
mod settings;
mod suspicion;
mod topics;
