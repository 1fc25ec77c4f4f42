//! Patches between fleet contracts.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_contract::{
    ContentDigest, DetectionLeaning, FleetAccount, FleetContract, FleetPatch, FleetRoute,
    PatchError, RepeatClass, RetryBudget, RoutePart,
};
use sycamorelink_core::{CustomerName, ServiceName};

fn route(number: usize) -> FleetRoute {
    let text = ContentDigest::of(&number.to_be_bytes()).to_string();
    FleetRoute {
        name: Arc::from(&text[..8]),
        host: Arc::from(format!("host-{}.example", number % 50)),
        prefix: Arc::from(format!("/{}/", &text[8..16])),
        repeat: RepeatClass::Idempotent,
        deadline: Duration::from_millis(2_500),
        objective: Duration::from_millis(1_200),
        attempts: 3,
        priority: 7,
        parts: vec![RoutePart {
            service: ServiceName::new("orders"),
            weight: 1,
        }],
        public: false,
    }
}

fn account(number: usize) -> FleetAccount {
    FleetAccount {
        name: CustomerName::new(&format!("account-{number}")),
        keys: vec![ContentDigest::of(&number.to_be_bytes())],
        priority: Some(5),
        quota: None,
    }
}

fn contract(version: u64, routes: usize, accounts: usize) -> FleetContract {
    FleetContract {
        version,
        services: vec![ServiceName::new("orders"), ServiceName::new("files")],
        routes: (0..routes).map(route).collect(),
        accounts: (0..accounts).map(account).collect(),
        retry_budget: RetryBudget::default(),
        retry_slack: 200,
        leaning: DetectionLeaning::FastDetection,
    }
}

fn between(base: Option<&FleetContract>, target: &FleetContract) -> FleetPatch {
    let base = base.map(|base| (base.stamp(), base));
    FleetPatch::between(base, (target.stamp(), target))
}

/// Sends a patch as bytes and applies it.
fn transfer(
    base: Option<&FleetContract>,
    target: &FleetContract,
) -> Result<FleetContract, PatchError> {
    let bytes = between(base, target).encode()?;
    let base = base.map(|base| (base.stamp(), base));
    FleetPatch::decode(&bytes)?.apply(base)
}

#[test]
fn patches_add_change_and_drop_routes_and_accounts() {
    let base = contract(3, 40, 10);
    let mut target = contract(9, 60, 12);
    target.routes.remove(7);
    target.routes[20].deadline = Duration::from_secs(1);
    target.accounts.remove(2);
    target.accounts[4].keys.clear();
    target.services.pop();
    target.retry_slack = 10;
    let patched = transfer(Some(&base), &target).expect("patch applies");
    assert_eq!(patched.stamp(), target.stamp());
    let whole = transfer(None, &target).expect("patch applies");
    assert_eq!(whole.stamp(), target.stamp());
    let back = transfer(Some(&target), &base).expect("patch applies");
    assert_eq!(back.stamp(), base.stamp());
}

#[test]
fn stamp_ignores_order_but_not_content() {
    let contract = contract(3, 40, 10);
    let mut reordered = contract.clone();
    reordered.routes.reverse();
    reordered.accounts.reverse();
    reordered.services.reverse();
    assert_eq!(reordered.stamp(), contract.stamp());
    reordered.accounts[0].keys.clear();
    assert_ne!(reordered.stamp(), contract.stamp());
}

// Guards against patches whose size follows that of the contract, which fill the links of nodes.
#[test]
fn patch_size_follows_the_change() {
    let base = contract(3, 4_000, 80);
    let size = |target: &FleetContract| {
        let patch = between(Some(&base), target).encode();
        patch.expect("patch is encoded").len()
    };
    let json = serde_json::to_vec(&base).expect("contract is encoded");
    let whole = between(None, &base).encode().expect("patch is encoded");
    let mut changed = contract(4, 4_000, 80);
    changed.routes[5].deadline = Duration::from_secs(1);
    insta::assert_debug_snapshot!([
        ("whole contract as JSON", json.len()),
        ("whole contract as a patch", whole.len()),
        ("1,400 routes added", size(&contract(4, 5_400, 80))),
        ("one route changed", size(&changed)),
        ("another version only", size(&contract(4, 4_000, 80))),
    ]);
}

// Guards against a contract that mixes two versions, because a patch was applied to a base that has
// the same version but other content.
#[test]
fn patch_of_another_base_is_refused() {
    let base = contract(3, 40, 10);
    let target = contract(4, 41, 10);
    let mut other = contract(3, 40, 10);
    other.routes[1].attempts = 1;
    let patch = between(Some(&base), &target);
    let result = patch.clone().apply(Some((other.stamp(), &other)));
    assert!(matches!(result, Err(PatchError::WrongBase)), "{result:?}");
    let result = patch.clone().apply(Some((base.stamp(), &other)));
    assert!(matches!(result, Err(PatchError::WrongDigest)), "{result:?}");
    let result = patch.apply(None);
    assert!(matches!(result, Err(PatchError::WrongBase)), "{result:?}");
}

// Guards against a damaged patch that decodes and puts something else into force.
#[test]
fn damaged_patch_is_refused() {
    let base = contract(3, 40, 10);
    let target = contract(4, 60, 11);
    let bytes = between(Some(&base), &target).encode().expect("is encoded");
    for index in 0..bytes.len() {
        for bit in [1, 0x80] {
            let mut damaged = bytes.clone();
            damaged[index] ^= bit;
            let result = FleetPatch::decode(&damaged)
                .and_then(|patch| patch.apply(Some((base.stamp(), &base))));
            if let Ok(contract) = result {
                assert_eq!(contract.stamp(), target.stamp(), "byte {index}");
            }
        }
        let result = FleetPatch::decode(&bytes[..index]);
        assert!(result.is_err(), "{index} bytes of the patch");
    }
}

// Guards against a small patch that fills the memory of the node that decompresses it.
#[test]
fn oversized_patch_is_refused() {
    let zeros = vec![0; 64 << 20];
    let bytes = zstd::bulk::compress(&zeros, 1).expect("zeros are compressed");
    let result = FleetPatch::decode(&bytes);
    assert!(matches!(result, Err(PatchError::Oversized)), "{result:?}");
}
