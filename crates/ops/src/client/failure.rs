//! Errors of calls to the operators' API.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use sycamorelink_core::SettingFinding;

/// Errors of calls to the operators' API.
#[derive(Debug)]
pub enum ApiFailure {
    /// No daemon answered.
    Unreachable {
        /// The daemons that were tried, each with its error.
        attempts: Vec<(SocketAddr, String)>,
    },
    /// A daemon refused the call.
    Problem(Box<ProblemDetails>),
    /// The reply does not have the expected form.
    Malformed {
        /// Path in the reply and the parse error.
        message: String,
    },
}

impl fmt::Display for ApiFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { attempts } => {
                f.write_str("no daemon answered")?;
                for (address, reason) in attempts {
                    write!(f, "\n  {address}: {reason}")?;
                }
                Ok(())
            }
            Self::Problem(problem) => write!(f, "{problem}"),
            Self::Malformed { message } => {
                write!(f, "the daemon's reply cannot be read: {message}")
            }
        }
    }
}

impl Error for ApiFailure {}

/// Problem details of a refusal, as in RFC 9457.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ProblemDetails {
    /// Short description of the kind of problem.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Stable code of the kind of problem.
    pub code: String,
    /// Explanation specific to this call.
    pub detail: Option<String>,
    /// Validation findings in the document that was sent.
    pub findings: Vec<SettingFinding>,
    /// Version in force, if it conflicts with the change that was sent.
    pub winner: Option<VersionConflict>,
}

/// Version in force that conflicts with a change.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct VersionConflict {
    /// Id of the change that created the version.
    pub change: Option<String>,
    /// Version in force; zero if the customer was removed.
    pub version: u64,
    /// Operator who made the change.
    pub operator: Option<String>,
}

impl fmt::Display for ProblemDetails {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.title, self.status)?;
        if let Some(detail) = &self.detail {
            write!(f, ": {detail}")?;
        }
        if let Some(conflict) = &self.winner {
            write!(f, "\n{conflict}")?;
        }
        for finding in &self.findings {
            write!(f, "\n{finding}")?;
        }
        Ok(())
    }
}

impl fmt::Display for VersionConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} is in force", self.version)?;
        if let Some(operator) = &self.operator {
            write!(f, ", made by {operator}")?;
        }
        if let Some(change) = &self.change {
            write!(f, " with change {change}")?;
        }
        Ok(())
    }
}
