//! Tests for the memory account.

use bytes::Bytes;
use sycamorelink_daemon::memory::MemoryAccount;

// Guards against requests that are accepted beyond the limit, and against bytes that stay counted
// after their request ended.
#[test]
fn account_refuses_beyond_its_limit_and_releases_on_drop() {
    let account = MemoryAccount::new(Some(100));
    let mut first = account.try_reserve(60).expect("60 of 100 fit");
    assert!(account.try_reserve(41).is_none());
    assert!(!first.try_grow(41));
    assert_eq!(first.bytes(), 60, "a refused growth adds nothing");
    assert!(first.try_grow(40));
    assert!(account.is_full());
    assert!(
        account.try_reserve(0).is_none(),
        "a full account takes no request"
    );
    drop(first);
    assert_eq!(account.used(), 0);
    assert!(account.try_reserve(100).is_some());
}

// Guards against a ready reply that is dropped for lack of memory: it counts even beyond the limit,
// and new requests are refused meanwhile.
#[test]
fn bytes_that_are_held_already_count_beyond_the_limit() {
    let account = MemoryAccount::new(Some(100));
    let mut reply = account.reserve(90);
    reply.grow(50);
    assert_eq!(account.used(), 140);
    assert!(account.try_reserve(1).is_none());
    drop(reply);
    assert!(account.try_reserve(1).is_some());
}

// Guards against bytes that are released while a slow reader still holds a part of them.
#[test]
fn held_bytes_count_until_their_last_reference_is_dropped() {
    let account = MemoryAccount::new(Some(100));
    let reservation = account.try_reserve(80).expect("80 of 100 fit");
    let held = reservation.hold(Bytes::from(vec![7; 50]));
    assert_eq!(account.used(), 50, "what was reserved too much is released");
    let part = held.slice(40..);
    drop(held);
    assert_eq!(account.used(), 50);
    assert_eq!(part.as_ref(), [7; 10]);
    drop(part);
    assert_eq!(account.used(), 0);
    let grown = account.reserve(10).hold(Bytes::from(vec![7; 30]));
    assert_eq!(account.used(), 30);
    drop(grown);
    assert_eq!(account.used(), 0);
}

// Guards against a bound in a fleet that did not switch overload control on.
#[test]
fn account_without_a_limit_accepts_everything() {
    let account = MemoryAccount::new(None);
    let reservation = account.try_reserve(u64::MAX).expect("there is no limit");
    assert_eq!((reservation.bytes(), account.used()), (0, 0));
    assert!(!account.is_full());
    assert_eq!(account.hold(Bytes::from_static(b"reply")), "reply");
}

// Guards against a limit in a fleet whose settings allow overload control while its contract does not
// call for it.
#[test]
fn limit_applies_only_while_enforced() {
    let account = MemoryAccount::new(Some(100));
    account.enforce(false);
    let held = account.try_reserve(150).expect("no limit applies");
    assert_eq!(account.limit(), None);
    account.enforce(true);
    assert!(account.try_reserve(1).is_none(), "what is held counts");
    drop(held);
    assert!(account.try_reserve(1).is_some());
}
