//! Customer contract: the document that defines all limits and routes of a customer.

use std::sync::{Arc, LazyLock};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sycamorelink_core::{CustomerName, FindingList};

use crate::change::MAX_CONTRACT_BYTES;
use crate::terms::{
    ClientAccount, DetectionLeaning, HedgeBudget, RateLimit, RetryBudget, RouteTerms, ServiceTerms,
};
use crate::{schema, validate};

/// Limits, services and routes of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CustomerContract {
    /// Name of the customer, unique in the fleet.
    pub customer: CustomerName,
    /// Team of operators who may amend the contract.
    pub team: Arc<str>,
    /// Client accounts of the customer.
    pub tokens: Vec<ClientAccount>,
    /// Requests per second in the whole fleet.
    pub rate: RateLimit,
    /// Maximum number of concurrent requests in the whole fleet.
    pub concurrency: u32,
    /// How many requests may be retried.
    #[serde(default)]
    pub retry_budget: RetryBudget,
    /// How many requests may be hedged.
    #[serde(default)]
    pub hedge_budget: HedgeBudget,
    /// Preference between missed and false ejections of upstreams.
    #[serde(default)]
    pub leaning: DetectionLeaning,
    /// Header in which backend servers echo the request's id. A reply with another id is
    /// rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reply_id_header: Option<Arc<str>>,
    /// Services the customer uses.
    pub services: Vec<ServiceTerms>,
    /// Routes of the customer's requests.
    pub routes: Vec<RouteTerms>,
}

impl CustomerContract {
    /// Parses and validates a contract.
    ///
    /// # Errors
    ///
    /// Returns all problems with their JSON paths: violations of the schema, or if there are none,
    /// all semantic errors.
    pub fn from_json(text: &str) -> Result<Self, FindingList> {
        let mut findings = FindingList::default();
        match serde_json::from_str(text) {
            Ok(value) if is_too_large(text, &value) => {
                findings.add(
                    "$",
                    format!("is larger than {MAX_CONTRACT_BYTES} bytes without white space"),
                );
                Err(findings)
            }
            Ok(value) => Self::from_value(&value),
            Err(error) => {
                findings.add("$", format!("not JSON: {error}"));
                Err(findings)
            }
        }
    }

    /// Validates a contract that was already parsed as JSON.
    ///
    /// # Errors
    ///
    /// See [`Self::from_json`].
    pub fn from_value(value: &Value) -> Result<Self, FindingList> {
        // The deserializer stops at the first error, so only invalid documents take the slower
        // schema check that finds all errors.
        let contract: Self = serde_path_to_error::deserialize(value).map_err(|error| {
            let mut findings = schema::check(&CONTRACT_SCHEMA, value);
            if findings.0.is_empty() {
                findings.add(error.path().to_string(), error.inner().to_string());
            }
            findings
        })?;
        contract.validate().into_result()?;
        Ok(contract)
    }

    /// Returns the contract as indented JSON, without fields that have their default value.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Returns all semantic errors of the contract with their JSON paths.
    #[must_use]
    pub fn validate(&self) -> FindingList {
        validate::check(self)
    }

    /// Returns the terms of one of the contract's services.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTerms> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}

fn is_too_large(text: &str, value: &Value) -> bool {
    text.len() > MAX_CONTRACT_BYTES && value.to_string().len() > MAX_CONTRACT_BYTES
}

static CONTRACT_SCHEMA: LazyLock<Value> =
    LazyLock::new(|| schemars::schema_for!(CustomerContract).to_value());

/// Returns the JSON schema of a contract.
#[must_use]
pub fn contract_schema() -> Value {
    CONTRACT_SCHEMA.clone()
}
