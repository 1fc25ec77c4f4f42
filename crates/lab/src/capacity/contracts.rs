//! Memory and processing time of the contract book and its route table.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use sycamorelink_contract::{
    ApplyOutcome, ChangeAction, ChangeId, ClientAccount, ContentDigest, ContractBook,
    ContractChange, ContractText, ContractVersion, CustomerContract, RouteTable, samples,
};
use sycamorelink_core::{CustomerName, ServiceName};

use super::fit::{MeasuredPoint, to_f64};
use super::memory::measure_growth;

/// Routes per customer when the number of routes is varied.
const CUSTOMER_ROUTES: usize = 40;

/// Client accounts per customer when the number of accounts is varied.
const CUSTOMER_ACCOUNTS: usize = 50;

/// Number of distinct services that the contracts name.
const SERVICES: usize = 5_000;

/// Number of changes over which the time is averaged.
const CHANGES: usize = 50;

/// Team that owns the contracts.
const TEAM: &str = "operators";

/// Dimension that varies from point to point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContractDimension {
    /// Number of routes, with one account per customer.
    Routes,
    /// Number of client accounts, with one route per customer.
    Accounts,
}

/// Measured points of the contract book.
#[derive(Clone, Debug, Default)]
pub struct ContractPoints {
    /// Memory of the book and its route table, in bytes.
    pub memory: Vec<MeasuredPoint>,
    /// Time to apply all contracts from the log and build the route table, in seconds.
    pub build: Vec<MeasuredPoint>,
    /// Time to apply one change while a reader holds the previous route table, in microseconds.
    pub change: Vec<MeasuredPoint>,
}

/// Measures the book at each count.
///
/// # Errors
///
/// Returns an error when resident memory cannot be read or a contract is rejected.
pub fn measure_contracts(dimension: ContractDimension, counts: &[usize]) -> Result<ContractPoints> {
    let mut kept = Vec::new();
    let mut points = ContractPoints::default();
    for count in counts {
        let customers = match dimension {
            ContractDimension::Routes => count / CUSTOMER_ROUTES,
            ContractDimension::Accounts => count / CUSTOMER_ACCOUNTS,
        };
        let mut elapsed = Duration::ZERO;
        let (book, bytes) = measure_growth(|| filled_book(dimension, customers, &mut elapsed))?;
        let mut book = book?;
        let point = |value| MeasuredPoint {
            count: to_f64(*count),
            value,
        };
        points.memory.push(point(to_f64(usize::try_from(bytes)?)));
        points.build.push(point(elapsed.as_secs_f64()));
        let change = change_time(dimension, &mut book, customers)?;
        points.change.push(point(change.as_secs_f64() * 1e6));
        kept.push(book);
    }
    Ok(points)
}

/// Builds a book from one log record per customer. Only applying the records is timed.
fn filled_book(
    dimension: ContractDimension,
    customers: usize,
    elapsed: &mut Duration,
) -> Result<ContractBook> {
    let mut book = ContractBook::new();
    for customer in 0..customers {
        let change = ContractChange::builder(
            ChangeId(customer as u128 + 1),
            customer_name(customer),
            put_action(dimension, customer, 0),
        );
        let bytes = change.author("operator", TEAM).build().encode();
        let started = Instant::now();
        let outcome = book.apply(customer as u64, &bytes);
        *elapsed += started.elapsed();
        ensure_accepted(&outcome)?;
    }
    Ok(book)
}

fn ensure_accepted(outcome: &ApplyOutcome) -> Result<()> {
    let accepted = matches!(outcome, ApplyOutcome::Accepted { .. });
    ensure!(
        accepted,
        "contract of the measurement was rejected: {outcome:?}"
    );
    Ok(())
}

/// Returns the mean time of a change to one customer's contract while a reader holds the previous
/// route table.
fn change_time(
    dimension: ContractDimension,
    book: &mut ContractBook,
    customers: usize,
) -> Result<Duration> {
    let mut elapsed = Duration::ZERO;
    for number in 0..CHANGES {
        let customer = number * customers / CHANGES;
        let name = customer_name(customer);
        let offset = (customers + number) as u64;
        let change = ContractChange::builder(
            ChangeId((customers + number) as u128 + 1),
            name,
            put_action(dimension, customer, 1),
        );
        let base = ContractVersion::at(customer as u64);
        let change = change.base(base).seen(offset).author("operator", TEAM);
        let bytes = change.build().encode();
        let reader: Arc<RouteTable> = book.table();
        let started = Instant::now();
        let outcome = book.apply(offset, &bytes);
        let table = book.table();
        elapsed += started.elapsed();
        ensure_accepted(&outcome)?;
        drop(reader);
        let rule = table
            .customers()
            .find(|(_, rule)| rule.customer.as_str() == customer_name(customer).as_str());
        rule.context("the changed customer is not in the table")?;
    }
    Ok(elapsed / u32::try_from(CHANGES)?)
}

fn customer_name(customer: usize) -> CustomerName {
    CustomerName::new(&format!("customer-{customer:05}"))
}

fn put_action(dimension: ContractDimension, customer: usize, round: u32) -> ChangeAction {
    let contract = sample_contract(dimension, customer, round);
    ChangeAction::Put {
        contract: ContractText::of(&contract),
    }
}

/// Returns a contract derived from the Brannock sample, with as many routes or accounts as the
/// dimension requires.
fn sample_contract(dimension: ContractDimension, customer: usize, round: u32) -> CustomerContract {
    let (routes, accounts) = match dimension {
        ContractDimension::Routes => (CUSTOMER_ROUTES, 1),
        ContractDimension::Accounts => (1, CUSTOMER_ACCOUNTS),
    };
    let mut contract = samples::brannock();
    contract.customer = customer_name(customer);
    contract.team = Arc::from(TEAM);
    contract.concurrency += round;
    contract.services.truncate(1);
    let service = ServiceName::new(&format!("service-{:05}", customer % SERVICES));
    contract.services[0].name = service.clone();
    let sample = contract.routes[0].clone();
    contract.routes = (0..routes)
        .map(|number| {
            let mut route = sample.clone();
            route.prefix = Arc::from(format!("/area-{:02}/item-{number:03}", number % 7));
            route.service = service.clone();
            route
        })
        .collect();
    contract.tokens = (0..accounts)
        .map(|number| ClientAccount {
            id: Arc::from(format!("account-{number:03}")),
            sha256: ContentDigest::of(format!("{customer}/{number}").as_bytes()),
            role: None,
        })
        .collect();
    contract
}
