//! Client of the operators' API.
//!
//! Any daemon serves any call, so the client tries the configured daemons in order until one
//! answers.
//!
//! Retrying at the next daemon when a reply was lost must not apply a change twice. Every change
//! therefore carries its id in `Idempotency-Key`, and the fleet applies each id once, whichever
//! daemons receive it. A call that concerns one daemon, such as a drain, is sent to that daemon
//! only.

mod call;
mod daemon;
mod failure;

pub use call::{ApiCall, ApiReply};
pub use daemon::DaemonClient;
pub use failure::{ApiFailure, ProblemDetails, VersionConflict};

pub use http::Method;
