//! Authorization of calls to the operators' API.
//!
//! ```text
//! token -> SHA-256 -> account -> grants (team, role) -> call needs (role, scope) -> allow or deny
//! ```
//!
//! A grant assigns a role for the contracts of one team or of all teams. Each role includes the
//! lesser ones. Calls that no grant allows are denied.

mod audit;
mod quota;

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sycamorelink_core::FindingList;

pub use audit::{AuditEntry, AuditResult};
pub use quota::{ChangeQuota, QuotaLedger};

use crate::digest::ContentDigest;

/// What an account may do, the greater including the lesser.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum AccessRole {
    /// Reads.
    Viewer,
    /// Publishes, amends and rolls back contracts.
    Operator,
    /// Removes customers, too.
    Admin,
}

impl AccessRole {
    /// All roles, least privileged first.
    pub const ALL: &'static [Self] = &[Self::Viewer, Self::Operator, Self::Admin];
}

impl fmt::Display for AccessRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Viewer => "viewer",
            Self::Operator => "operator",
            Self::Admin => "admin",
        })
    }
}

/// Teams to which a grant applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TeamScope {
    /// Every team, and calls that touch the fleet as a whole.
    All,
    /// One team.
    Team(Arc<str>),
}

impl TeamScope {
    /// Returns whether the scope includes a team.
    #[must_use]
    pub fn covers(&self, team: &str) -> bool {
        match self {
            Self::All => true,
            Self::Team(own) => &**own == team,
        }
    }
}

/// One role over some teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccessGrant {
    /// The teams.
    pub scope: TeamScope,
    /// The role.
    pub role: AccessRole,
}

/// An operator's account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccessAccount {
    /// Name, as the audit shows it.
    pub name: Arc<str>,
    /// SHA-256 of the token, 64 hexadecimal digits.
    #[schemars(with = "String")]
    pub sha256: ContentDigest,
    /// What the account may do.
    pub grants: Vec<AccessGrant>,
}

/// Operation of the operators' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AccessCall {
    /// Shows one daemon.
    ShowStatus,
    /// Shows the fleet.
    ShowFleet,
    /// Shows one service.
    ShowService,
    /// Reports the error-budget burn of service-level objectives.
    ShowBurn,
    /// Lists the customers that are visible to the account.
    ListContracts,
    /// Shows a contract.
    ShowContract,
    /// Shows the changes of a contract.
    ShowHistory,
    /// Shows the outcome of a change.
    ShowChange,
    /// Creates or amends a contract.
    PutContract,
    /// Puts an earlier content into force again.
    RollBackContract,
    /// Removes a customer.
    RemoveContract,
    /// Shows the audit log.
    ShowAudit,
    /// Drains a daemon and makes it leave the fleet.
    DrainDaemon,
}

/// Scope of the data that a call reads or changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallScope {
    /// No data of a particular team; any grant is enough.
    Shared,
    /// One team's contract.
    Team,
    /// The fleet as a whole.
    Fleet,
}

impl AccessCall {
    /// All calls.
    pub const ALL: &'static [Self] = &[
        Self::ShowStatus,
        Self::ShowFleet,
        Self::ShowService,
        Self::ShowBurn,
        Self::ListContracts,
        Self::ShowContract,
        Self::ShowHistory,
        Self::ShowChange,
        Self::PutContract,
        Self::RollBackContract,
        Self::RemoveContract,
        Self::ShowAudit,
        Self::DrainDaemon,
    ];

    const fn requirement(self) -> (AccessRole, CallScope) {
        match self {
            Self::ShowStatus
            | Self::ShowFleet
            | Self::ShowService
            | Self::ShowBurn
            | Self::ListContracts => (AccessRole::Viewer, CallScope::Shared),
            Self::ShowContract | Self::ShowHistory | Self::ShowChange => {
                (AccessRole::Viewer, CallScope::Team)
            }
            Self::PutContract | Self::RollBackContract => (AccessRole::Operator, CallScope::Team),
            Self::RemoveContract => (AccessRole::Admin, CallScope::Team),
            Self::ShowAudit => (AccessRole::Admin, CallScope::Fleet),
            Self::DrainDaemon => (AccessRole::Operator, CallScope::Fleet),
        }
    }

    /// Returns whether the call changes anything.
    #[must_use]
    pub fn is_change(self) -> bool {
        self.requirement().0 > AccessRole::Viewer && self != Self::ShowAudit
    }
}

/// Reason for which a call is denied. The messages reveal nothing about contracts that are not
/// visible to the account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum AccessDenial {
    /// No account has this token.
    #[error("no account has this token")]
    UnknownToken,
    /// The account has no grant for this team, or the call needs one for all teams.
    #[error("{account} has no grant for this")]
    OutOfScope {
        /// Name of the account.
        account: Arc<str>,
    },
    /// The account's role does not include the call.
    #[error("{account} is {role} here; the call needs {needed}")]
    RoleTooSmall {
        /// Name of the account.
        account: Arc<str>,
        /// Greatest role that the account has for the scope of the call.
        role: AccessRole,
        /// Role required by the call.
        needed: AccessRole,
    },
    /// The team exceeded its change quota.
    #[error("team {team} has used up its changes; the next is free in {wait_seconds} s")]
    QuotaUsedUp {
        /// Name of the team.
        team: Arc<str>,
        /// Seconds until the quota allows another change.
        wait_seconds: u64,
    },
}

/// Checks whether an account may make a call.
///
/// `team` is the team of the customer's contract, or `None` for calls without a customer. A call
/// that concerns a contract but has no team requires a grant for all teams.
///
/// # Errors
///
/// Returns the reason for the denial.
pub fn authorize(
    account: &AccessAccount,
    call: AccessCall,
    team: Option<&str>,
) -> Result<(), AccessDenial> {
    let (needed, scope) = call.requirement();
    let covers = |grant: &&AccessGrant| match (scope, team) {
        (CallScope::Shared, _) => true,
        (CallScope::Team, Some(team)) => grant.scope.covers(team),
        (CallScope::Team, None) | (CallScope::Fleet, _) => grant.scope == TeamScope::All,
    };
    let roles = account.grants.iter().filter(covers).map(|grant| grant.role);
    match roles.max() {
        Some(role) if role >= needed => Ok(()),
        Some(role) => Err(AccessDenial::RoleTooSmall {
            account: account.name.clone(),
            role,
            needed,
        }),
        None => Err(AccessDenial::OutOfScope {
            account: account.name.clone(),
        }),
    }
}

/// Checks whether an account may change a contract.
///
/// The account needs the required role for the contract's current team, if any, and for its new
/// team. Otherwise an account could take over a contract from another team.
///
/// # Errors
///
/// Returns the reason for the denial.
pub fn authorize_change(
    account: &AccessAccount,
    call: AccessCall,
    current_team: Option<&str>,
    new_team: &str,
) -> Result<(), AccessDenial> {
    if let Some(team) = current_team {
        authorize(account, call, Some(team))?;
    }
    authorize(account, call, Some(new_team))
}

/// Accounts of all operators.
#[derive(Clone, Debug, Default)]
pub struct AccessTable {
    accounts: Vec<AccessAccount>,
}

impl AccessTable {
    /// Creates the table from the accounts in the settings.
    ///
    /// # Errors
    ///
    /// Returns a finding for every account without a name, grants or a token, and for every name
    /// or token that two accounts share.
    pub fn new(accounts: Vec<AccessAccount>) -> Result<Self, FindingList> {
        let mut findings = FindingList::default();
        for (index, account) in accounts.iter().enumerate() {
            let place = format!("accounts[{index}]");
            let mut earlier = accounts[..index].iter();
            findings.expect(!account.name.is_empty(), &place, "has no name");
            findings.expect(!account.grants.is_empty(), &place, "has no grants");
            findings.expect(
                account.sha256 != ContentDigest::of(b""),
                &place,
                "has the empty token",
            );
            let same = |other: &AccessAccount| {
                other.name == account.name || other.sha256 == account.sha256
            };
            findings.expect(
                !earlier.any(same),
                &place,
                "has the name or token of an earlier account",
            );
        }
        findings.into_result()?;
        Ok(Self { accounts })
    }

    /// Returns the account that a token belongs to.
    ///
    /// Compares the hash of the token with every account, each in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`AccessDenial::UnknownToken`] if no account has the token.
    pub fn find(&self, token: &[u8]) -> Result<&AccessAccount, AccessDenial> {
        let hash = ContentDigest::of(token);
        let mut found = None;
        for account in &self.accounts {
            if account.sha256.ct_eq(&hash) {
                found = Some(account);
            }
        }
        found.ok_or(AccessDenial::UnknownToken)
    }
}
