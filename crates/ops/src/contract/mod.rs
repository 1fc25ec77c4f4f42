//! The `contract` commands: validate and compare files, publish and read contracts through any
//! daemon.
//!
//! ```text
//! file ──validate──▶ change with an id ──PUT──▶ daemon ──▶ log ──▶ every daemon
//!                          │                       │
//!                          └── wait ◀── state of the change by its id
//! ```

mod change;
mod diff;
mod follow;
mod local;
mod read;

pub use change::{
    AmendOptions, BaseVersion, ChangeOptions, amend_contract, publish_contract, remove_contract,
    roll_back_contract,
};
pub use diff::{ContractDifference, value_differences};
pub use follow::{WaitOptions, wait_for_change};
pub use local::{
    DiffBaseline, diff_contracts, print_sample, print_schema, read_contract, validate_contracts,
};
pub use read::{contract_history, list_contracts, show_contract};

pub use uuid::Uuid;

use anyhow::Context;
use sycamorelink_contract::CustomerContract;

use crate::client::{ApiCall, DaemonClient};

/// Contract in force and its version.
struct VersionedContract {
    contract: CustomerContract,
    version: u64,
}

fn contract_path(customer: &str) -> String {
    format!("/v1/contracts/{}", escape_segment(customer))
}

fn fetch_contract(client: &DaemonClient, customer: &str) -> anyhow::Result<VersionedContract> {
    let reply = client.call(&ApiCall::get(&contract_path(customer)))?;
    let version = reply.version.context("the reply names no version")?;
    Ok(VersionedContract {
        contract: reply.json()?,
        version,
    })
}

/// Percent-encodes a name for use as one segment of a URL path.
pub(crate) fn escape_segment(name: &str) -> String {
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(byte);
    name.bytes()
        .map(|byte| match byte {
            byte if plain(&byte) => char::from(byte).to_string(),
            byte => format!("%{byte:02X}"),
        })
        .collect()
}
