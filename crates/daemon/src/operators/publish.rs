//! Changes of contracts: appended to the log, settled by reading back.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use sycamorelink_contract::access::{AccessAccount, AccessCall, authorize, authorize_change};
use sycamorelink_contract::{
    ChangeAction, ChangeId, ContractChange, ContractVersion, CustomerContract, LogRecord,
};
use sycamorelink_core::CustomerName;
use sycamorelink_log::{LogError, ReadBack, SettleResult, append_and_settle};

use super::query::OperatorQuery;
use super::reply::{ApiProblem, json_reply, versioned};
use super::server::OperatorContext;

/// How long a change is waited for until it is read back.
const SETTLE_LIMIT: Duration = Duration::from_secs(4);
/// Time between two looks at what became of it.
const SETTLE_STEP: Duration = Duration::from_millis(10);
/// How long a lost reply's record is waited for at the end of the log.
const READ_PATIENCE: Duration = Duration::from_millis(500);

/// What a change is to do.
#[derive(Debug)]
pub enum ChangeWish {
    /// Put this document into force.
    Put(Bytes),
    /// Remove the customer.
    Remove,
    /// Put the content of an earlier version into force again.
    RollBack(Bytes),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollBackBody {
    to: u64,
}

impl ChangeWish {
    fn call(&self) -> AccessCall {
        match self {
            Self::Put(_) => AccessCall::PutContract,
            Self::Remove => AccessCall::RemoveContract,
            Self::RollBack(_) => AccessCall::RollBackContract,
        }
    }
}

/// Makes one change and waits until it is in force here.
///
/// # Errors
///
/// Why it was not made, or lost.
pub async fn make_change(
    context: &OperatorContext,
    account: &AccessAccount,
    headers: &HeaderMap,
    customer: &str,
    wish: ChangeWish,
) -> Result<Response<Bytes>, ApiProblem> {
    let id = change_id(headers)?;
    let base = base_version(headers)?;
    let present = context
        .ask(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    let held_by = present["team"].as_str().map(str::to_owned);
    let call = wish.call();
    let (action, team) = action_of(context, customer, wish, held_by.as_deref()).await?;
    let held_by = if present["version"] == 0 {
        None
    } else {
        held_by
    };
    let allowed = match &team {
        Some(team) => authorize_change(account, call, held_by.as_deref(), team),
        None => authorize(account, call, held_by.as_deref()),
    };
    allowed.map_err(|denial| ApiProblem::new(StatusCode::FORBIDDEN, "forbidden", denial))?;
    let team = team.or(held_by).unwrap_or_default();
    let head = present["head"].as_u64().unwrap_or_default();
    let change = ContractChange::builder(id, CustomerName::new(customer), action)
        .base(ContractVersion(base))
        .seen(head)
        .author(&account.name, &team)
        .stamp(context.clock.wall())
        .build();
    let known = settled(context, id).await?;
    if known["state"] == "unknown" {
        append(context, &change, head).await?;
    }
    await_outcome(context, customer, id).await
}

fn change_id(headers: &HeaderMap) -> Result<ChangeId, ApiProblem> {
    let text = headers
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| bad_request("the header Idempotency-Key must name the change"))?;
    text.trim_matches('"').parse().map_err(bad_request)
}

fn base_version(headers: &HeaderMap) -> Result<u64, ApiProblem> {
    headers
        .get(http::header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().trim_matches('"').parse().ok())
        .ok_or_else(|| {
            bad_request("the header If-Match must name the version amended, \"0\" to create")
        })
}

fn bad_request<T>(detail: T) -> ApiProblem
where
    T: std::fmt::Display,
{
    ApiProblem::new(StatusCode::BAD_REQUEST, "bad-request", detail)
}

async fn action_of(
    context: &OperatorContext,
    customer: &str,
    wish: ChangeWish,
    held_by: Option<&str>,
) -> Result<(ChangeAction, Option<String>), ApiProblem> {
    match wish {
        ChangeWish::Remove => Ok((ChangeAction::Remove, None)),
        ChangeWish::Put(bytes) => {
            let contract = parse_contract(&bytes)?;
            if contract.customer.as_str() != customer {
                return Err(bad_request(
                    "the contract names another customer than the path",
                ));
            }
            let team = contract.team.to_string();
            Ok((ChangeAction::put(&contract), Some(team)))
        }
        ChangeWish::RollBack(bytes) => {
            let body: RollBackBody = serde_json::from_slice(&bytes).map_err(bad_request)?;
            let contract = earlier_content(context, customer, body.to).await?;
            let action = ChangeAction::RollBack {
                to: ContractVersion(body.to),
                contract: sycamorelink_contract::ContractText::of(&contract),
            };
            let team = Some(contract.team.to_string());
            Ok((action, team.or(held_by.map(str::to_owned))))
        }
    }
}

fn parse_contract(bytes: &[u8]) -> Result<CustomerContract, ApiProblem> {
    let text = std::str::from_utf8(bytes).map_err(|_| bad_request("the body is not UTF-8"))?;
    CustomerContract::from_json(text).map_err(|findings| ApiProblem::findings(&findings))
}

/// The content of an earlier version is read back from the log.
async fn earlier_content(
    context: &OperatorContext,
    customer: &str,
    version: u64,
) -> Result<CustomerContract, ApiProblem> {
    let range = sycamorelink_log::ReadRange {
        from: version.saturating_sub(1),
        max: 1,
        wait: Duration::ZERO,
    };
    let page = context
        .log
        .read(&context.stream, range)
        .await
        .map_err(|error| log_problem(&error))?;
    let record = page
        .records
        .first()
        .filter(|record| record.offset + 1 == version);
    let decoded = record.and_then(|record| LogRecord::decode(&record.data).ok());
    let Some(LogRecord::Change(change)) = decoded else {
        return Err(ApiProblem::not_found("the log no longer has this version"));
    };
    if change.customer.as_str() != customer {
        return Err(ApiProblem::not_found(
            "this version is not of this customer",
        ));
    }
    let text = change.action.contract().ok_or_else(|| {
        ApiProblem::not_found("this version removed the customer and has no content")
    })?;
    text.parse()
        .map_err(|findings| ApiProblem::findings(&findings))
}

/// Failure: the append took effect and its reply was lost; sent again, the change would stand in
/// the log twice. A lost reply is settled by looking for the change's own id instead, and readers
/// drop a second copy.
async fn append(
    context: &OperatorContext,
    change: &ContractChange,
    head: u64,
) -> Result<(), ApiProblem> {
    let id = change.id;
    let range = ReadBack {
        stream: &context.stream,
        from: head,
        patience: READ_PATIENCE,
    };
    let own = |record: &sycamorelink_log::LogRecord| {
        matches!(
            LogRecord::decode(&record.data),
            Ok(LogRecord::Change(found)) if found.id == id
        )
    };
    let bytes = Bytes::from(change.encode());
    match append_and_settle(context.log.as_ref(), range, bytes, own).await {
        Ok(SettleResult::Taken { .. } | SettleResult::NotSeen { .. })
        | Err(LogError::Uncertain { .. }) => Ok(()),
        Err(error) => Err(log_problem(&error)),
    }
}

fn log_problem(error: &LogError) -> ApiProblem {
    ApiProblem::new(StatusCode::SERVICE_UNAVAILABLE, "log-unavailable", error)
}

async fn settled(context: &OperatorContext, id: ChangeId) -> Result<Value, ApiProblem> {
    let value = context.ask(OperatorQuery::Change(id)).await?;
    Ok((*value).clone())
}

async fn await_outcome(
    context: &OperatorContext,
    customer: &str,
    id: ChangeId,
) -> Result<Response<Bytes>, ApiProblem> {
    let until = context.clock.now() + SETTLE_LIMIT;
    loop {
        let outcome = settled(context, id).await?;
        match outcome["state"].as_str() {
            Some("accepted") => {
                let version = outcome["version"].as_u64().unwrap_or_default();
                let body = json!({ "customer": customer, "change": id, "version": version });
                return Ok(versioned(json_reply(StatusCode::OK, &body), version));
            }
            Some("rejected") => return Err(lost(&outcome)),
            _ if context.clock.now() >= until => {
                let body = json!({ "change": id, "customer": customer, "state": "pending" });
                return Ok(json_reply(StatusCode::ACCEPTED, &body));
            }
            _ => tokio::time::sleep(SETTLE_STEP).await,
        }
    }
}

fn lost(outcome: &Value) -> ApiProblem {
    let reason = outcome["reason"].as_str().unwrap_or("rejected");
    if outcome["winner"].is_null() {
        return ApiProblem::new(StatusCode::CONFLICT, "change-lost", reason);
    }
    ApiProblem::new(StatusCode::PRECONDITION_FAILED, "base-stale", reason)
        .with("winner", outcome["winner"].clone())
}
