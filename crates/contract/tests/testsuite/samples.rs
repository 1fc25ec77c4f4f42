//! Publication of the sample contracts and lookup of their routes.

use sycamorelink_contract::{
    ApplyOutcome, ChangeAction, ChangeId, ContractBook, ContractVersion, CustomerContract,
    RepeatClass, samples,
};
use sycamorelink_core::CustomerName;

fn put(book: &mut ContractBook, contract: &CustomerContract, id: u128) -> ApplyOutcome {
    let action = ChangeAction::put(contract);
    let change = book
        .draft(ChangeId(id), &contract.customer, action)
        .author("ann", &contract.team)
        .build();
    book.apply(book.next_offset(), &change.encode())
}

#[test]
fn published_contract_routes_requests() {
    let mut book = ContractBook::new();
    let outcome = put(&mut book, &samples::brannock(), 1);
    let accepted = ApplyOutcome::Accepted {
        customer: CustomerName::new("brannock"),
        version: ContractVersion(1),
    };
    assert_eq!(outcome, accepted);
    put(&mut book, &samples::harbour_mesh(), 2);

    let table = book.table();
    let customer = table
        .find_customer(samples::HARBOUR_TOKEN.as_bytes())
        .unwrap();
    let read = table.find_route(customer, "GET", "/payouts/7").unwrap();
    assert_eq!(read.repeat, RepeatClass::Idempotent);
    let pay = table.find_route(customer, "POST", "/payouts").unwrap();
    assert_eq!(pay.repeat, RepeatClass::NonIdempotent);
    assert!(pay.keys.required);
    assert!(!pay.hedge);
    assert!(table.find_route(customer, "DELETE", "/payouts").is_none());
    assert!(table.find_customer(b"no such token").is_none());
}
