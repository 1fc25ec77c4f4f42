//! The `trace` command on log lines from daemons of a loaded fleet.
//!
//! An upstream is held off while the daemon in front of its backend server suspects the server of
//! failing and refuses work for it.

use super::run;

/// Log lines of four failed requests and of the upstreams that were tried, merged as by a log
/// collector.
const LOG: &str = "tests/testsuite/cli/logs/day.log";
/// Log lines of two requests at backend servers with a deadline queue.
const QUEUE_LOG: &str = "tests/testsuite/cli/logs/queue.log";

// A read is refused as not run: every upstream that was tried had no free slot in time or was held
// off, so no backend server received the request.
#[test]
fn refused_read_is_shown_as_not_run() {
    insta::assert_snapshot!(run(&["trace", "00793ddb7dd41291", LOG]));
}

// A backend server resets the connection during a request, so whether the request ran is unknown.
// This is the first request that the fault hit, and the next request is held off.
#[test]
fn connection_reset_during_run_is_shown_as_unknown() {
    insta::assert_snapshot!(run(&["trace", "092692031df0fba4", LOG]));
}

// Three upstreams are held off for a booking, and the fourth accepts it and does not respond before
// the route's deadline.
#[test]
fn timed_out_booking_shows_every_attempt() {
    insta::assert_snapshot!(run(&["trace", "96c84c6c7452ef74", LOG]));
}

// Three upstreams are held off for a read and the fourth resets its connection. The retry budget of
// the receiving node is used up, so the caller gets an error that a retry might have avoided.
#[test]
fn read_without_retry_budget_is_not_retried() {
    insta::assert_snapshot!(run(&["trace", "41eada88dc8239b0", LOG]));
}

// A request waits under overload control, loses its objective and is refused once its deadline
// cannot be met. Guards against a queue whose position, expected wait and decisions are not shown.
#[test]
fn queued_request_shows_its_place_and_its_end_in_the_queue() {
    insta::assert_snapshot!(run(&["trace", "q1", QUEUE_LOG]));
}

// Guards against a refusal by the queue whose inputs are not shown.
#[test]
fn refusal_by_the_queue_shows_why_it_was_not_queued() {
    insta::assert_snapshot!(run(&["trace", "q2", QUEUE_LOG]));
}

// A service declines a read, which waits, meets a server without repeats and waits until no run fits
// into its time left. Guards against a trace that leaves out why and where the request spent its
// time. The log is written by hand in the format of the daemons.
#[test]
fn waits_in_the_caller_queue_are_shown() {
    let log = "tests/testsuite/cli/logs/waits.log";
    insta::assert_snapshot!(run(&["trace", "7f0000000000a001", log]));
}

#[test]
fn unknown_request_and_missing_log_are_errors() {
    let texts = [
        run(&["trace", "nobody", LOG]),
        run(&["trace", "nobody", "no-such.log"]),
        run(&["trace", "nobody"]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}
