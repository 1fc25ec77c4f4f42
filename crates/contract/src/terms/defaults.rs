//! Default values of contract fields.
//!
//! The defaults are part of the record format: changing one would change contracts in force.

use std::time::Duration;

use super::KeyTerms;

/// Default share of announced upstreams that ejection must leave.
pub const DEFAULT_FLOOR: f64 = 0.5;
/// Default number of upstreams that ejection must leave.
pub const DEFAULT_FLOOR_COUNT: u32 = 1;
/// Default deadline of a request.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
/// Default maximum deadline of a service's routes.
pub const DEFAULT_MAX_DEADLINE: Duration = Duration::from_secs(30);
/// Default priority of a route, in the middle of 0 (low) to 9 (high).
pub const DEFAULT_PRIORITY: u8 = 5;
/// Maximum priority of a route.
pub const MAX_PRIORITY: u8 = 9;
/// Default maximum size of a request body, in bytes.
pub const DEFAULT_MAX_BODY: u64 = 1 << 20;
/// Default maximum size of a reply that is buffered completely before it is forwarded, in bytes.
pub const DEFAULT_REPLY_BUFFER: u64 = 1 << 20;
/// Default time for which a key is retained.
pub const DEFAULT_KEY_MEMORY: Duration = Duration::from_hours(1);
/// Default share of requests that may be retried.
pub const DEFAULT_RETRY_SHARE: f64 = 0.10;
/// Default number of retries per second that are allowed regardless of the share.
pub const DEFAULT_RETRY_MIN: f64 = 1.0;
/// Default share of requests that may be hedged.
pub const DEFAULT_HEDGE_SHARE: f64 = 0.02;
/// Default share of requests that must succeed.
pub const DEFAULT_SUCCESS: f64 = 0.999;
/// Default window over which an objective is evaluated.
pub const DEFAULT_WINDOW: Duration = Duration::from_hours(720);

/// Generates two functions for each default: one that returns it, and one that detects it so that
/// fields with their default value are not serialized.
macro_rules! defaults {
    ($($default_fn:ident, $is_default_fn:ident, $kind:ty, $value:expr;)+) => {
        $(
            pub(super) const fn $default_fn() -> $kind {
                $value
            }

            pub(super) fn $is_default_fn(value: &$kind) -> bool {
                *value == $value
            }
        )+
    };
}

defaults! {
    default_success, is_default_success, f64, DEFAULT_SUCCESS;
    default_floor, is_default_floor, f64, DEFAULT_FLOOR;
    default_floor_count, is_default_floor_count, u32, DEFAULT_FLOOR_COUNT;
    default_priority, is_default_priority, u8, DEFAULT_PRIORITY;
    default_max_body, is_default_max_body, u64, DEFAULT_MAX_BODY;
    default_reply_buffer, is_default_reply_buffer, u64, DEFAULT_REPLY_BUFFER;
    default_window, is_default_window, Duration, DEFAULT_WINDOW;
    default_deadline, is_default_deadline, Duration, DEFAULT_DEADLINE;
}

pub(super) fn is_default_keys(value: &KeyTerms) -> bool {
    *value == KeyTerms::default()
}
