//! Text form of the status of overload control in `sycamorelink service`.

use crate::context::ShellContext;
use crate::table::TextTable;
use crate::view::{OverloadView, RefusalView, ServiceView, WaitView};

/// Milliseconds from which a time is printed in seconds.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Prints what waits, what was refused and what is known of each backend server.
///
/// # Errors
///
/// Returns an error if standard output cannot be written.
pub(crate) fn print_overload(
    context: &mut ShellContext,
    service: &ServiceView,
    overload: &OverloadView,
) -> anyhow::Result<()> {
    context.data_line(refusals_line(&overload.refusals))?;
    if let Some(line) = accounts_line(&overload.refusals) {
        context.data_line(line)?;
    }
    context.data_line(waiting_line(overload.waiting.as_deref()))?;
    let queues = queue_table(service, overload);
    if !queues.is_empty() {
        context.data_line("\nwaiting beside this daemon's backend servers:")?;
        context.data(queues)?;
    }
    let servers = server_table(service, overload);
    if !servers.is_empty() {
        context.data_line("\nknown of each backend server:")?;
        context.data(servers)?;
    }
    Ok(())
}

fn refusals_line(refusals: &RefusalView) -> String {
    let total: u64 = refusals.reasons.iter().map(|reason| reason.count).sum();
    let reasons = refusals.reasons.iter();
    let reasons: Vec<String> = reasons
        .map(|reason| format!("{} {}", reason.refusal, reason.count))
        .collect();
    let list = match reasons.as_slice() {
        [] => "none".to_owned(),
        reasons => format!("{total} ({})", reasons.join(", ")),
    };
    let window = time_text(refusals.window_ms);
    format!("refused by this daemon in the last {window}: {list}")
}

/// Returns the refusals of client accounts; `None` if no account was refused.
fn accounts_line(refusals: &RefusalView) -> Option<String> {
    let accounts = refusals.accounts.iter();
    let mut accounts: Vec<String> = accounts
        .map(|account| format!("{} {}", account.account, account.count))
        .collect();
    if refusals.other_accounts > 0 {
        accounts.push(format!("all others {}", refusals.other_accounts));
    }
    (!accounts.is_empty()).then(|| format!("by account: {}", accounts.join(", ")))
}

fn waiting_line(waiting: Option<&[WaitView]>) -> String {
    let Some(waiting) = waiting else {
        return "caller queue: off".to_owned();
    };
    let reasons = waiting.iter().filter(|reason| reason.count > 0);
    let reasons: Vec<String> = reasons
        .map(|reason| {
            let longest = optional_time_text(reason.longest_wait_ms);
            format!("{} {} (longest {longest})", reason.reason, reason.count)
        })
        .collect();
    match reasons.as_slice() {
        [] => "waiting in the caller queue: none".to_owned(),
        reasons => format!("waiting in the caller queue: {}", reasons.join(", ")),
    }
}

fn queue_table(service: &ServiceView, overload: &OverloadView) -> TextTable {
    let heading = ["UPSTREAM", "INSTANCE", "IN TIME", "LATE", "LONGEST WAIT"];
    let mut table = TextTable::new(&heading);
    for queue in &overload.queues {
        table.row([
            queue.upstream.clone(),
            instance_of(service, &queue.upstream),
            queue.in_time.to_string(),
            queue.late.to_string(),
            optional_time_text(queue.longest_wait_ms),
        ]);
    }
    table
}

fn server_table(service: &ServiceView, overload: &OverloadView) -> TextTable {
    let heading = [
        "UPSTREAM",
        "INSTANCE",
        "IN USE",
        "QUEUED",
        "EXPECTED WAIT",
        "MEAN RUN",
        "REPEATS LEFT",
        "AGE",
    ];
    let mut table = TextTable::new(&heading);
    for server in &overload.servers {
        table.row([
            server.upstream.clone(),
            instance_of(service, &server.upstream),
            format!("{}/{}", server.in_use, server.limit),
            server.queued.to_string(),
            time_text(server.expected_wait_ms),
            time_text(server.mean_run_ms),
            server.repeats.to_string(),
            time_text(server.age_ms),
        ]);
    }
    table
}

fn instance_of(service: &ServiceView, id: &str) -> String {
    let mut upstreams = service.upstreams.iter();
    let upstream = upstreams.find(|upstream| upstream.upstream == id);
    upstream
        .and_then(|upstream| upstream.instance.clone())
        .unwrap_or_default()
}

fn time_text(millis: u64) -> String {
    let (seconds, rest) = (millis / MILLIS_PER_SECOND, millis % MILLIS_PER_SECOND);
    match (seconds, rest) {
        (0, _) => format!("{millis}ms"),
        (_, 0) => format!("{seconds}s"),
        _ => format!("{seconds}.{}s", rest / 100),
    }
}

fn optional_time_text(millis: Option<u64>) -> String {
    millis.map_or("-".to_owned(), time_text)
}
