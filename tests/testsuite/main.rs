//! End-to-end tests of the command line and of fleets that run as separate processes on loopback.

mod bad_input;
mod cli;
mod fleet;
mod pages;
mod support;
