//! Authorization and change quotas of operators.

use std::sync::Arc;
use std::time::Duration;

use insta::assert_snapshot;
use sycamorelink_contract::ContentDigest;
use sycamorelink_contract::access::{
    AccessAccount, AccessCall, AccessDenial, AccessGrant, AccessRole, AccessTable, ChangeQuota,
    QuotaLedger, TeamScope, authorize, authorize_change,
};

fn account(name: &str, scope: TeamScope, role: AccessRole) -> AccessAccount {
    AccessAccount {
        name: Arc::from(name),
        sha256: ContentDigest::of(name.as_bytes()),
        grants: vec![AccessGrant { scope, role }],
    }
}

fn red_team() -> TeamScope {
    TeamScope::Team(Arc::from("red"))
}

/// The snapshot has one row per call. For each account, it shows whether the call is allowed for
/// the account's own team, for another team, and without a team. A `*` marks grants for all teams.
#[test]
fn every_role_may_make_only_the_listed_calls() {
    let mut accounts = vec![AccessAccount {
        grants: Vec::new(),
        ..account("nobody", red_team(), AccessRole::Viewer)
    }];
    for scope in [red_team(), TeamScope::All] {
        for role in AccessRole::ALL {
            accounts.push(account("someone", scope.clone(), *role));
        }
    }
    let mut rows = vec![format!(
        "{:<18}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}",
        "", "nobody", "viewer", "operator", "admin", "viewer*", "operator*", "admin*"
    )];
    for call in AccessCall::ALL {
        let cells = accounts.iter().map(|account| {
            let teams = [Some("red"), Some("blue"), None];
            let results = teams.map(|team| authorize(account, *call, team));
            let marks = results.map(|result| if result.is_ok() { 'y' } else { '-' });
            format!("{:>10}", marks.iter().collect::<String>())
        });
        let name = format!("{call:?}");
        rows.push(format!("{name:<18}{}", cells.collect::<String>()));
    }
    assert_snapshot!(rows.join("\n"));
}

#[test]
fn unknown_tokens_are_refused() {
    let admin = account("ann", TeamScope::All, AccessRole::Admin);
    let table = AccessTable::new(vec![admin]).unwrap();
    assert_eq!(table.find(b"ann").unwrap().name, Arc::from("ann"));
    for token in [
        &b""[..],
        b"an",
        b"ann ",
        b"Ann",
        &ContentDigest::of(b"ann").0,
    ] {
        assert_eq!(table.find(token).unwrap_err(), AccessDenial::UnknownToken);
    }
    assert_eq!(
        AccessTable::default().find(b"").unwrap_err(),
        AccessDenial::UnknownToken
    );
}

#[test]
fn changing_a_contract_needs_a_grant_for_both_teams() {
    // An operator publishes another team's customer under the operator's own team. If only the
    // team of the new contract were checked, the operator could take over the customer.
    let operator = account("rob", red_team(), AccessRole::Operator);
    let call = AccessCall::PutContract;
    assert_eq!(
        authorize_change(&operator, call, Some("red"), "red"),
        Ok(())
    );
    assert_eq!(authorize_change(&operator, call, None, "red"), Ok(()));
    assert!(authorize_change(&operator, call, Some("blue"), "red").is_err());
    assert!(authorize_change(&operator, call, Some("red"), "blue").is_err());
}

#[test]
fn all_invalid_accounts_are_reported() {
    let twin = |name: &str| AccessAccount {
        sha256: ContentDigest::of(b"same"),
        ..account(name, red_team(), AccessRole::Viewer)
    };
    let empty = AccessAccount {
        sha256: ContentDigest::of(b""),
        grants: Vec::new(),
        ..account("", red_team(), AccessRole::Viewer)
    };
    let findings = AccessTable::new(vec![twin("a"), twin("b"), empty]).unwrap_err();
    assert_snapshot!(findings);
}

#[test]
fn team_over_quota_must_wait() {
    let quota = ChangeQuota {
        per_day: 86_400,
        burst: 3,
    };
    let mut ledger = QuotaLedger::new(quota);
    let red: Arc<str> = Arc::from("red");
    let at = Duration::from_secs;
    for _ in 0..3 {
        assert_eq!(ledger.check(&red, at(10)), Ok(()));
        ledger.record(&red, at(10));
    }
    assert_snapshot!(ledger.check(&red, at(10)).unwrap_err());
    assert_eq!(ledger.check(&Arc::from("blue"), at(10)), Ok(()));
    assert_eq!(ledger.check(&red, at(11)), Ok(()));
}
