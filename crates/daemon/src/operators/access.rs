//! Authentication of calls to the operators' port by bearer token.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sycamorelink_contract::ContentDigest;
use sycamorelink_contract::access::{
    AccessAccount, AccessDenial, AccessGrant, AccessRole, AccessTable, TeamScope,
};
use sycamorelink_core::FindingList;

use crate::settings::{OperatorAccount, OperatorRole};

/// Scheme in front of the token in the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";
/// Account name recorded for reads that need no token.
const LOCAL_READER_NAME: &str = "local";

/// Authenticator of calls, with the accounts from the settings.
///
/// Without any account, callers on the same instance may read, and every change is refused.
#[derive(Clone, Debug)]
pub struct OperatorAuthenticator {
    table: AccessTable,
    local_reads_allowed: bool,
}

impl OperatorAuthenticator {
    /// Converts the accounts from the settings.
    ///
    /// # Errors
    ///
    /// Every invalid or duplicate account.
    pub fn new(accounts: &[OperatorAccount]) -> Result<Self, FindingList> {
        let mut findings = FindingList::default();
        let mut access_accounts = Vec::new();
        for (index, account) in accounts.iter().enumerate() {
            match ContentDigest::from_hex(&account.token_sha256) {
                Some(sha256) => access_accounts.push(access_account(account, sha256)),
                None => findings.add(
                    format!("operators[{index}].token_sha256"),
                    "must be 64 hexadecimal digits",
                ),
            }
        }
        findings.into_result()?;
        Ok(Self {
            table: AccessTable::new(access_accounts)?,
            local_reads_allowed: accounts.is_empty(),
        })
    }

    /// Returns the account that a call is made with.
    ///
    /// # Errors
    ///
    /// When the token is missing or belongs to no account.
    pub fn authenticate(
        &self,
        headers: &HeaderMap,
        peer: SocketAddr,
    ) -> Result<AccessAccount, AccessDenial> {
        if self.local_reads_allowed && peer.ip().is_loopback() {
            return Ok(local_reader());
        }
        let token = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix(BEARER_PREFIX))
            .ok_or(AccessDenial::UnknownToken)?;
        self.table.find(token.trim().as_bytes()).cloned()
    }
}

fn local_reader() -> AccessAccount {
    AccessAccount {
        name: Arc::from(LOCAL_READER_NAME),
        sha256: ContentDigest::default(),
        grants: vec![AccessGrant {
            scope: TeamScope::All,
            role: AccessRole::Viewer,
        }],
    }
}

fn access_account(account: &OperatorAccount, sha256: ContentDigest) -> AccessAccount {
    let role = match account.role {
        OperatorRole::Reader => AccessRole::Viewer,
        OperatorRole::Publisher => AccessRole::Operator,
        OperatorRole::Admin => AccessRole::Admin,
    };
    let scope = account.team.clone().map_or(TeamScope::All, TeamScope::Team);
    AccessAccount {
        name: Arc::clone(&account.name),
        sha256,
        grants: vec![AccessGrant { scope, role }],
    }
}
