//! The operators' port: an HTTP API for administration and status, and for the announcements of the
//! backend servers of this instance.
//!
//! ```text
//!  operator ──HTTP──▶ server ─ access ─ route ─┬─ query ──ring──▶ decision thread
//!                                              ├─ publish ──────▶ the platform's log
//!  backend server ──announcement───────────────┴─ event ──ring──▶ decision thread
//! ```

mod access;
mod history;
mod overload;
mod path;
mod publish;
mod query;
mod reply;
mod route;
mod server;

pub use access::OperatorAuthenticator;
pub use query::{OperatorQuery, answer_query};
pub use server::{OperatorContext, serve_operators};
