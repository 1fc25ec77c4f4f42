//! Trace lines of events and commands.

use sycamorelink_engine::{NodeCommand, NodeEvent};

/// Returns the trace line of an event; `None` for gossip and periodic work.
pub(super) fn event_line(event: &NodeEvent) -> Option<String> {
    match event {
        NodeEvent::RequestArrived(caller) => Some(format!(
            "request {} {} {} key={}",
            caller.id.0,
            caller.method,
            caller.target,
            caller.key.as_deref().unwrap_or("-"),
        )),
        NodeEvent::CallerGone { request } => Some(format!("caller of {} gone", request.0)),
        NodeEvent::AttemptEnded(report) => Some(format!(
            "attempt {}.{} ended {:?} {} status={:?} code={:?}",
            report.attempt.request.0,
            report.attempt.number,
            report.kind,
            report.run,
            report.status,
            report.code,
        )),
        NodeEvent::WorkOffered(offer) => Some(format!(
            "work for {}.{} keyed={}",
            offer.attempt.request.0,
            offer.attempt.number,
            offer.ticket.is_some(),
        )),
        NodeEvent::WorkEnded(report) => Some(format!("work ended {:?}", report.end)),
        NodeEvent::LogReachable(reachable) => Some(format!("log reachable={reachable}")),
        NodeEvent::DrainRequested => Some("drain".to_owned()),
        _ => None,
    }
}

/// Returns the trace line of a command; `None` for commands that the trace omits.
pub(super) fn command_line(command: &NodeCommand) -> Option<String> {
    match command {
        NodeCommand::Refuse { request, refusal } => Some(format!(
            "refuse {} {} run={} retry_after={:?}",
            request.0, refusal.code, refusal.run, refusal.retry_after,
        )),
        NodeCommand::Dispatch(order) => Some(format!(
            "dispatch {}.{} keyed={}",
            order.attempt.request.0,
            order.attempt.number,
            order.ticket.is_some(),
        )),
        NodeCommand::CancelAttempt { attempt } => {
            Some(format!("cancel {}.{}", attempt.request.0, attempt.number))
        }
        NodeCommand::Deliver { attempt } => {
            Some(format!("deliver {}.{}", attempt.request.0, attempt.number))
        }
        NodeCommand::AnswerKept { request, reply } => Some(format!(
            "answer {} with {:?}",
            request.0,
            String::from_utf8_lossy(reply),
        )),
        NodeCommand::AnswerGone { request } => Some(format!("answer {}: ran", request.0)),
        NodeCommand::RunWork { .. } => Some("run work".to_owned()),
        NodeCommand::RefuseWork { refusal, .. } => {
            Some(format!("refuse work {} run={}", refusal.code, refusal.run))
        }
        NodeCommand::CancelWork { .. } => Some("cancel work".to_owned()),
        NodeCommand::Drained => Some("drained".to_owned()),
        _ => None,
    }
}
