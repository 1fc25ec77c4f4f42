//! Semantic validation of contracts, which reports all errors at once.

use std::collections::{BTreeMap, BTreeSet};

use sycamorelink_core::{FindingList, nearest_name};

use crate::contract::CustomerContract;
use crate::table::path;
use crate::terms::{MAX_PRIORITY, RepeatClass, RouteTerms, ServiceTerms};

/// Maximum share of requests that may be retried or hedged.
const MAX_BUDGET_SHARE: f64 = 0.5;

pub(crate) fn check(contract: &CustomerContract) -> FindingList {
    let mut findings = FindingList::default();
    check_names(contract, &mut findings);
    check_limits(contract, &mut findings);
    check_tokens(contract, &mut findings);
    check_services(contract, &mut findings);
    check_routes(contract, &mut findings);
    findings
}

fn check_names(contract: &CustomerContract, findings: &mut FindingList) {
    check_name(contract.customer.as_str(), "customer", findings);
    check_name(&contract.team, "team", findings);
    if let Some(header) = &contract.reply_id_header {
        findings.expect(
            is_header_name(header),
            "reply_id_header",
            "is no name of an HTTP header",
        );
    }
}

/// Maximum length of the name of a customer, team, account, service or header, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn check_name(name: &str, place: &str, findings: &mut FindingList) {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    findings.expect(
        fits && name.chars().all(allowed) && name.starts_with(|c: char| c.is_ascii_alphanumeric()),
        place,
        "must be 1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
    );
}

fn is_header_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn check_limits(contract: &CustomerContract, findings: &mut FindingList) {
    findings.expect(
        contract.rate.per_second > 0.0,
        "rate.per_second",
        "must be above 0",
    );
    findings.expect(
        contract.rate.burst != Some(0),
        "rate.burst",
        "must be above 0",
    );
    findings.expect(contract.concurrency > 0, "concurrency", "must be above 0");
    let budgets = [
        ("retry_budget.share", contract.retry_budget.share),
        ("hedge_budget.share", contract.hedge_budget.share),
    ];
    for (place, share) in budgets {
        findings.expect(
            (0.0..=MAX_BUDGET_SHARE).contains(&share),
            place,
            "must be from 0 to 0.5: more would multiply the load of an overload",
        );
    }
    findings.expect(
        contract.retry_budget.min_per_second >= 0.0,
        "retry_budget.min_per_second",
        "must not be below 0",
    );
}

fn check_tokens(contract: &CustomerContract, findings: &mut FindingList) {
    let mut ids = BTreeMap::new();
    let mut hashes = BTreeMap::new();
    for (index, account) in contract.tokens.iter().enumerate() {
        let place = format!("tokens[{index}]");
        check_name(&account.id, &format!("{place}.id"), findings);
        if let Some(first) = ids.insert(account.id.clone(), index) {
            findings.add(format!("{place}.id"), format!("same as tokens[{first}].id"));
        }
        if let Some(first) = hashes.insert(account.sha256, index) {
            findings.add(
                format!("{place}.sha256"),
                format!("same as tokens[{first}].sha256"),
            );
        }
    }
}

fn check_services(contract: &CustomerContract, findings: &mut FindingList) {
    let mut names = BTreeMap::new();
    for (index, service) in contract.services.iter().enumerate() {
        let place = format!("services[{index}]");
        check_name(service.name.as_str(), &format!("{place}.name"), findings);
        if let Some(first) = names.insert(&service.name, index) {
            findings.add(
                format!("{place}.name"),
                format!("same as services[{first}].name"),
            );
        }
        check_service(service, &place, findings);
    }
}

fn check_service(service: &ServiceTerms, place: &str, findings: &mut FindingList) {
    findings.expect(
        (0.0..=1.0).contains(&service.floor),
        &format!("{place}.floor"),
        "must be from 0 to 1",
    );
    findings.expect(
        !service.deadline.is_zero(),
        &format!("{place}.deadline"),
        "must be above 0",
    );
    findings.expect(
        service.deadline <= service.longest_deadline(),
        &format!("{place}.deadline"),
        "is longer than max_deadline",
    );
    findings.expect(
        service.slots != Some(0),
        &format!("{place}.slots"),
        "must be above 0",
    );
    let Some(objective) = &service.objective else {
        return;
    };
    findings.expect(
        !objective.latency.is_zero(),
        &format!("{place}.objective.latency"),
        "must be above 0",
    );
    findings.expect(
        objective.latency <= service.deadline,
        &format!("{place}.objective.latency"),
        "is longer than the service's deadline, so no reply could miss it",
    );
    findings.expect(
        objective.success > 0.0 && objective.success < 1.0,
        &format!("{place}.objective.success"),
        "must be above 0 and below 1: a share of 1 leaves nothing to burn",
    );
    findings.expect(
        !objective.window.is_zero(),
        &format!("{place}.objective.window"),
        "must be above 0",
    );
}

fn check_routes(contract: &CustomerContract, findings: &mut FindingList) {
    let mut taken = BTreeMap::new();
    for (index, route) in contract.routes.iter().enumerate() {
        let place = format!("routes[{index}]");
        check_route_form(route, &place, findings);
        check_route_class(route, &place, findings);
        check_route_service(contract, route, &place, findings);
        for method in &route.methods {
            let key = (path::canonical_prefix(&route.prefix), *method);
            let first = *taken.entry(key).or_insert(index);
            if first != index {
                findings.add(
                    format!("{place}.prefix"),
                    format!(
                        "{} {} is taken by routes[{first}]",
                        method.as_str(),
                        route.prefix
                    ),
                );
            }
        }
    }
}

fn check_route_form(route: &RouteTerms, place: &str, findings: &mut FindingList) {
    if let Err(error) = path::check(&route.prefix) {
        findings.add(format!("{place}.prefix"), error.to_string());
    }
    findings.expect(
        !route.prefix.contains('?'),
        &format!("{place}.prefix"),
        "has a query, which takes no part in routing",
    );
    findings.expect(
        !route.methods.is_empty(),
        &format!("{place}.methods"),
        "names no method",
    );
    let distinct: BTreeSet<_> = route.methods.iter().collect();
    findings.expect(
        distinct.len() == route.methods.len(),
        &format!("{place}.methods"),
        "names a method twice",
    );
    findings.expect(
        route.priority <= MAX_PRIORITY,
        &format!("{place}.priority"),
        "must be from 0 (low) to 9 (high)",
    );
}

fn check_route_class(route: &RouteTerms, place: &str, findings: &mut FindingList) {
    let non_idempotent = route.repeat == RepeatClass::NonIdempotent;
    findings.expect(
        !(non_idempotent && route.hedge == Some(true)),
        &format!("{place}.hedge"),
        "a non-idempotent route cannot be hedged: both sends could run",
    );
    findings.expect(
        !route.keys.memory.is_zero(),
        &format!("{place}.keys.memory"),
        "must be above 0",
    );
}

fn check_route_service(
    contract: &CustomerContract,
    route: &RouteTerms,
    place: &str,
    findings: &mut FindingList,
) {
    let Some(service) = contract.service(route.service.as_str()) else {
        let known = contract
            .services
            .iter()
            .map(|service| service.name.as_str());
        let hint = nearest_name(route.service.as_str(), known)
            .map(|name| format!(", did you mean {name:?}?"))
            .unwrap_or_default();
        findings.add(
            format!("{place}.service"),
            format!("no service {:?} in services{hint}", route.service.as_str()),
        );
        return;
    };
    let deadline_limit = route.deadline.unwrap_or(service.deadline);
    findings.expect(
        route.repeat == RepeatClass::Idempotent || route.keys.memory >= deadline_limit,
        &format!("{place}.keys.memory"),
        "is shorter than the deadline: a key could be forgotten while its request runs",
    );
    let Some(deadline) = route.deadline else {
        return;
    };
    let place = format!("{place}.deadline");
    findings.expect(!deadline.is_zero(), &place, "must be above 0");
    findings.expect(
        deadline <= service.longest_deadline(),
        &place,
        "is longer than the service's max_deadline",
    );
    let latency = service.objective.map(|objective| objective.latency);
    findings.expect(
        latency.is_none_or(|latency| latency <= deadline),
        &place,
        "is shorter than the latency of the service's objective",
    );
}
