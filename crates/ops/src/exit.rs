//! Exit codes of the tool and the errors that map to them.

use std::error::Error;
use std::fmt;

use sycamorelink_core::FindingList;

use crate::client::{ApiFailure, ProblemDetails};

macro_rules! exit_kinds {
    ($($(#[$doc:meta])* $name:ident = ($code:literal, $meaning:literal),)+) => {
        /// Result of one invocation of the tool. `docs/exit-codes.md` lists the codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ExitKind {
            $($(#[$doc])* $name,)+
        }

        impl ExitKind {
            /// All kinds, ordered by exit code.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the exit code of the process.
            #[must_use]
            pub const fn code(self) -> u8 {
                match self {
                    $(Self::$name => $code,)+
                }
            }

            /// Returns the description that the documentation gives for the code.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$name => $meaning,)+
                }
            }
        }
    };
}

exit_kinds! {
    /// The operation succeeded.
    Success = (0, "Done"),
    /// The operation failed for a reason that has no exit code of its own.
    Failure = (1, "Failed for a reason without a code of its own"),
    /// The arguments are invalid.
    Usage = (2, "The arguments are wrong"),
    /// Settings or a contract failed validation.
    Findings = (3, "The settings or the contract have findings"),
    /// Another change to the contract was accepted first.
    Conflict = (4, "Another change won; the contract is as that change left it"),
    /// No daemon answered the call.
    Unreachable = (5, "No daemon could be asked"),
    /// The token is missing or unknown, or the account lacks the permission.
    Denied = (6, "The token is missing, unknown or may not do this"),
    /// The change was not confirmed in time and may still take effect.
    Unconfirmed = (7, "Not confirmed in time: the change may still take effect"),
    /// The compared contracts differ.
    Different = (8, "The compared contracts differ"),
    /// The requested item does not exist.
    NotFound = (9, "The thing asked for is not there"),
}

/// An error with an exit code of its own.
#[derive(Debug)]
pub enum ToolFailure {
    /// Settings or a contract failed validation.
    Findings(FindingList),
    /// No daemon address was configured.
    NoDaemon,
    /// The arguments exclude each other, or a value is invalid.
    Usage(String),
    /// The log did not confirm the change in time.
    Unconfirmed {
        /// Id of the change, a UUID.
        change: String,
    },
    /// The daemons read the change from the log and rejected it.
    Rejected {
        /// Id of the change, a UUID.
        change: String,
        /// Reason and, where known, the change that is in force instead.
        reason: String,
    },
    /// The compared contracts differ.
    Different,
    /// The requested item does not exist.
    NotFound(String),
    /// The reader of stdout closed the pipe.
    OutputClosed,
}

impl fmt::Display for ToolFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Findings(findings) => write!(f, "{findings}"),
            Self::NoDaemon => f.write_str(
                "no daemon to ask; name one with `--daemon IP:PORT` or in SYCAMORELINK_DAEMON",
            ),
            Self::Usage(message) | Self::NotFound(message) => f.write_str(message),
            Self::Unconfirmed { change } => write!(
                f,
                "the change {change} is not confirmed and may still take effect; \
                 ask with `sycamorelink contract wait {change}`"
            ),
            Self::Rejected { change, reason } => {
                write!(f, "the change {change} was rejected: {reason}")
            }
            Self::Different => f.write_str("the contracts differ"),
            Self::OutputClosed => f.write_str("stdout was closed"),
        }
    }
}

impl Error for ToolFailure {}

impl ToolFailure {
    const fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Findings(_) => ExitKind::Findings,
            Self::NoDaemon | Self::Usage(_) => ExitKind::Usage,
            Self::Unconfirmed { .. } => ExitKind::Unconfirmed,
            Self::Rejected { .. } => ExitKind::Conflict,
            Self::Different => ExitKind::Different,
            Self::NotFound(_) => ExitKind::NotFound,
            Self::OutputClosed => ExitKind::Success,
        }
    }
}

/// Returns the exit kind of the innermost cause that has one, or [`ExitKind::Failure`].
#[must_use]
pub fn exit_kind(error: &anyhow::Error) -> ExitKind {
    let kinds = error.chain().filter_map(cause_kind);
    kinds.last().unwrap_or(ExitKind::Failure)
}

fn cause_kind(cause: &(dyn Error + 'static)) -> Option<ExitKind> {
    if let Some(failure) = cause.downcast_ref::<ToolFailure>() {
        return Some(failure.exit_kind());
    }
    match cause.downcast_ref::<ApiFailure>()? {
        ApiFailure::Unreachable { .. } => Some(ExitKind::Unreachable),
        ApiFailure::Problem(problem) => Some(problem_kind(problem)),
        ApiFailure::Malformed { .. } => Some(ExitKind::Failure),
    }
}

const fn problem_kind(problem: &ProblemDetails) -> ExitKind {
    match problem.status {
        401 | 403 => ExitKind::Denied,
        404 => ExitKind::NotFound,
        409 | 412 => ExitKind::Conflict,
        422 => ExitKind::Findings,
        _ => ExitKind::Failure,
    }
}
