//! Measures the memory and speed of the book and the table at their design scale.
//!
//! ```sh
//! cargo run --release -p sycamorelink-contract --example scale
//! ```
//!
//! 20,000 customers with 200,000 routes, 250,000 client accounts and 5,000 services. Prints the
//! resident memory and how long the steps take.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sycamorelink_contract::{ChangeAction, ChangeId, ContentDigest, ContractBook, ContractText};
use sycamorelink_core::CustomerName;

const CUSTOMERS: usize = 20_000;
const ROUTES_EACH: usize = 10;
const ACCOUNTS: usize = 250_000;
const SERVICES: usize = 5_000;
const LOOKUPS: usize = 200_000;

fn main() {
    report_memory("empty");
    let mut book = ContractBook::new();
    let mut spent = Duration::ZERO;
    let mut bytes = 0;
    for number in 0..CUSTOMERS {
        let record = record(&book, number, 100);
        bytes += record.len();
        let started = Instant::now();
        book.apply(number as u64, &record);
        spent += started.elapsed();
    }
    println!("replay: {CUSTOMERS} records, {bytes} bytes, {spent:?}");
    let entries = book.entries().filter_map(|entry| entry.contract.as_ref());
    let content: usize = entries.map(ContractText::size).sum();
    println!("content in the book: {content} bytes");
    report_memory("replayed");
    measure_lookups(&book);
    report_memory("all routes compiled");
    println!("compiled routes: {}", book.table().compiled_routes());
    book.drop_compiled_routes(0);
    report_memory("routes given back");
    drop(measure_snapshot(&book));
    measure_changes(&mut book);
    report_memory("after changes");
}

/// Returns a change record for a contract with 10 routes and about 12 accounts.
fn record(book: &ContractBook, number: usize, rate: u32) -> Vec<u8> {
    let accounts: Vec<String> = (number..ACCOUNTS)
        .step_by(CUSTOMERS)
        .map(|account| {
            let hash = ContentDigest::of(token(account).as_bytes());
            format!(r#"{{"id":"acct-{account}","sha256":"{hash}"}}"#)
        })
        .collect();
    let service = |place: usize| format!("service-{}", (number * 7 + place) % SERVICES);
    let routes: Vec<String> = (0..ROUTES_EACH)
        .map(|place| {
            format!(
                r#"{{"prefix":"/api/part-{place}/things","methods":["GET","HEAD"],"service":"{}",
                    "repeat":"idempotent","deadline":"1500ms","priority":{}}}"#,
                service(place % 2),
                place % 10
            )
        })
        .collect();
    let text = format!(
        r#"{{"customer":"customer-{number}","team":"team-{}","tokens":[{}],
            "rate":{{"per_second":{rate}}},"concurrency":50,
            "services":[{{"name":"{}","objective":{{"latency":"300ms"}}}},{{"name":"{}"}}],
            "routes":[{}]}}"#,
        number % 50,
        accounts.join(","),
        service(0),
        service(1),
        routes.join(",")
    );
    let value = serde_json::from_str(&text).expect("JSON");
    let contract = ContractText::of_value(&value);
    let customer = CustomerName::new(&format!("customer-{number}"));
    let id = ChangeId(u128::from(book.next_offset()));
    let draft = book.draft(id, &customer, ChangeAction::Put { contract });
    let team = format!("team-{}", number % 50);
    draft.author("ann", &team).build().encode()
}

fn token(account: usize) -> String {
    format!("token-{account}")
}

fn measure_snapshot(book: &ContractBook) -> ContractBook {
    let started = Instant::now();
    let snapshot = book.snapshot();
    println!("snapshot: {:?}", started.elapsed());
    let started = Instant::now();
    let mut other = ContractBook::new();
    let outcome = other.adopt(&snapshot);
    println!(
        "adopt: {:?}, {} entries",
        started.elapsed(),
        outcome.taken.len()
    );
    report_memory("two books");
    other
}

fn measure_lookups(book: &ContractBook) {
    let table = book.table();
    let tokens: Vec<String> = (0..LOOKUPS)
        .map(|number| token(number * 7919 % ACCOUNTS))
        .collect();
    let started = Instant::now();
    let mut found = 0;
    for token in &tokens {
        let customer = table.find_customer(token.as_bytes()).expect("known token");
        let rule = table.find_route(customer, "GET", "/api/part-3/things/7?x=1");
        found += usize::from(black_box(rule).is_some());
    }
    let each = started.elapsed() / u32::try_from(LOOKUPS).expect("small");
    println!("lookups: {found} found, {each:?} each");
}

fn measure_changes(book: &mut ContractBook) {
    let held = book.table();
    let records = 500;
    let mut spent = Duration::ZERO;
    let mut worst = Duration::ZERO;
    for number in 0..records {
        let record = record(book, number * 31 % CUSTOMERS, 200);
        let table = book.table();
        let started = Instant::now();
        book.apply(book.next_offset(), &record);
        let took = started.elapsed();
        drop(table);
        spent += took;
        worst = worst.max(took);
    }
    let each = spent / u32::try_from(records).expect("small");
    println!("change: {each:?} each, {worst:?} at worst, with the table held by a reader");
    drop(held);
}

fn report_memory(when: &str) {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    println!("{when}: {}", line.unwrap_or("VmRSS: unknown"));
}
