//! Publishes contract changes: appends them to the log and waits until they are read back.

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
use sycamorelink_log::{AppendOutcome, LogError, ReadBack, append_and_settle};

use super::query::OperatorQuery;
use super::reply::{ApiProblem, json_reply, with_etag};
use super::server::OperatorContext;

/// Maximum time a call waits for its change to be read back; after that the reply is "pending".
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two queries for the outcome of a change.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time the log is searched for a record whose append got no reply.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A contract change that an operator asks for.
#[derive(Debug)]
pub enum ChangeRequest {
    /// Put this contract document into force.
    Put(Bytes),
    /// Remove the customer's contract.
    Remove,
    /// Put an earlier version into force again; the JSON body names it.
    RollBack(Bytes),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollBackBody {
    to: u64,
}

impl ChangeRequest {
    fn access_call(&self) -> AccessCall {
        match self {
            Self::Put(_) => AccessCall::PutContract,
            Self::Remove => AccessCall::RemoveContract,
            Self::RollBack(_) => AccessCall::RollBackContract,
        }
    }
}

/// Publishes one change and waits until it is in force on this node.
///
/// A change whose id is already known is not appended again. The reply is "pending" when the
/// outcome is not known within [`OUTCOME_TIMEOUT`].
///
/// # Errors
///
/// When the call is invalid or forbidden, the log is unavailable, or the change was rejected.
pub async fn publish_change(
    context: &OperatorContext,
    account: &AccessAccount,
    headers: &HeaderMap,
    customer: &str,
    request: ChangeRequest,
) -> Result<Response<Bytes>, ApiProblem> {
    let id = change_id(headers)?;
    let base = base_version(headers)?;
    let current = context
        .query(OperatorQuery::Contract(customer.to_owned()))
        .await?;
    let current_team = current["team"].as_str().map(str::to_owned);
    let call = request.access_call();
    let (action, team) = build_action(context, customer, request, current_team.as_deref()).await?;
    let current_team = if current["version"] == 0 {
        None
    } else {
        current_team
    };
    let allowed = match &team {
        Some(team) => authorize_change(account, call, current_team.as_deref(), team),
        None => authorize(account, call, current_team.as_deref()),
    };
    allowed.map_err(|denial| ApiProblem::new(StatusCode::FORBIDDEN, "forbidden", denial))?;
    let team = team.or(current_team).unwrap_or_default();
    let head = current["head"].as_u64().unwrap_or_default();
    let change = ContractChange::builder(id, CustomerName::new(customer), action)
        .base(ContractVersion(base))
        .seen(head)
        .author(&account.name, &team)
        .stamp(context.clock.wall())
        .build();
    let outcome = change_outcome(context, id).await?;
    if outcome["state"] == "unknown" {
        append_change(context, &change, head).await?;
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

async fn build_action(
    context: &OperatorContext,
    customer: &str,
    request: ChangeRequest,
    current_team: Option<&str>,
) -> Result<(ChangeAction, Option<String>), ApiProblem> {
    match request {
        ChangeRequest::Remove => Ok((ChangeAction::Remove, None)),
        ChangeRequest::Put(bytes) => {
            let contract = parse_contract(&bytes)?;
            if contract.customer.as_str() != customer {
                return Err(bad_request(
                    "the contract names another customer than the path",
                ));
            }
            let team = contract.team.to_string();
            Ok((ChangeAction::put(&contract), Some(team)))
        }
        ChangeRequest::RollBack(bytes) => {
            let body: RollBackBody = serde_json::from_slice(&bytes).map_err(bad_request)?;
            let contract = read_version(context, customer, body.to).await?;
            let action = ChangeAction::RollBack {
                to: ContractVersion(body.to),
                contract: sycamorelink_contract::ContractText::of(&contract),
            };
            let team = Some(contract.team.to_string());
            Ok((action, team.or(current_team.map(str::to_owned))))
        }
    }
}

fn parse_contract(bytes: &[u8]) -> Result<CustomerContract, ApiProblem> {
    let text = std::str::from_utf8(bytes).map_err(|_| bad_request("the body is not UTF-8"))?;
    CustomerContract::from_json(text).map_err(|findings| ApiProblem::from_findings(&findings))
}

/// Reads the content of an earlier version from the log.
async fn read_version(
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
        .map_err(|findings| ApiProblem::from_findings(&findings))
}

/// Appends a change to the log.
///
/// When the reply to the append is lost, the log is searched for the change's id, because a second
/// append could store the change twice. Readers drop a second copy all the same.
async fn append_change(
    context: &OperatorContext,
    change: &ContractChange,
    head: u64,
) -> Result<(), ApiProblem> {
    let id = change.id;
    let range = ReadBack {
        stream: &context.stream,
        from: head,
        patience: READ_BACK_TIMEOUT,
    };
    let is_same_change = |record: &sycamorelink_log::LogRecord| {
        matches!(
            LogRecord::decode(&record.data),
            Ok(LogRecord::Change(found)) if found.id == id
        )
    };
    let bytes = Bytes::from(change.encode());
    match append_and_settle(context.log.as_ref(), range, bytes, is_same_change).await {
        Ok(AppendOutcome::Appended { .. } | AppendOutcome::NotFound { .. })
        | Err(LogError::Uncertain { .. }) => Ok(()),
        Err(error) => Err(log_problem(&error)),
    }
}

fn log_problem(error: &LogError) -> ApiProblem {
    ApiProblem::new(StatusCode::SERVICE_UNAVAILABLE, "log-unavailable", error)
}

async fn change_outcome(context: &OperatorContext, id: ChangeId) -> Result<Value, ApiProblem> {
    let value = context.query(OperatorQuery::Change(id)).await?;
    Ok((*value).clone())
}

async fn await_outcome(
    context: &OperatorContext,
    customer: &str,
    id: ChangeId,
) -> Result<Response<Bytes>, ApiProblem> {
    let deadline = context.clock.now() + OUTCOME_TIMEOUT;
    loop {
        let outcome = change_outcome(context, id).await?;
        match outcome["state"].as_str() {
            Some("accepted") => {
                let version = outcome["version"].as_u64().unwrap_or_default();
                let body = json!({ "customer": customer, "change": id, "version": version });
                return Ok(with_etag(json_reply(StatusCode::OK, &body), version));
            }
            Some("rejected") => return Err(rejected_problem(&outcome)),
            _ if context.clock.now() >= deadline => {
                let body = json!({ "change": id, "customer": customer, "state": "pending" });
                return Ok(json_reply(StatusCode::ACCEPTED, &body));
            }
            _ => tokio::time::sleep(OUTCOME_POLL_INTERVAL).await,
        }
    }
}

fn rejected_problem(outcome: &Value) -> ApiProblem {
    let reason = outcome["reason"].as_str().unwrap_or("rejected");
    if outcome["winner"].is_null() {
        return ApiProblem::new(StatusCode::CONFLICT, "change-lost", reason);
    }
    ApiProblem::new(StatusCode::PRECONDITION_FAILED, "base-stale", reason)
        .with("winner", outcome["winner"].clone())
}
