//! Records membership changes: other daemons that join, leave or fail, and changes of this daemon's
//! own state as its peers see it.

use std::time::Duration;

use sycamorelink_core::InstanceId;
use sycamorelink_core::unit::format_duration;
use sycamorelink_engine::NodeNote;
use sycamorelink_roster::{DownCause, RosterNote};
use sycamorelink_telemetry::reach::PartitionChange;
use sycamorelink_telemetry::{EventCode, EventFields};

use super::NoteRecorder;

impl NoteRecorder {
    pub(super) fn record_member_change(&mut self, now: Duration, note: &NodeNote) {
        match note {
            NodeNote::MemberUp(peer) => {
                self.emit_peer(EventCode::MemberUp, peer);
                let change = self.partitions.up(peer.node);
                self.emit_partition_change(change);
            }
            NodeNote::MemberDown { instance, cause } => {
                self.emit_peer(down_event(*cause), instance);
                self.record_member_down(now, instance, *cause);
            }
            NodeNote::IncarnationRaised(own) => {
                let reason = "peers remember a later incarnation: the wall clock was set back";
                let fields = EventFields::new().peer(own).reason(&reason);
                self.emit(EventCode::DaemonSuperseded, &fields);
            }
            NodeNote::Superseded(by) => self.emit_peer(EventCode::DaemonSuperseded, by),
            _ => {}
        }
    }

    /// Updates the partition monitor. A daemon that restarted (`DownCause::Replaced`) does not
    /// count as lost.
    fn record_member_down(&mut self, now: Duration, instance: &InstanceId, cause: DownCause) {
        match cause {
            DownCause::Dead => {
                let change = self.partitions.lost(now, instance.node);
                self.emit_partition_change(change);
            }
            DownCause::Left | DownCause::LostWhileLeaving => self.partitions.left(instance.node),
            DownCause::Replaced => {}
        }
    }

    fn emit_partition_change(&self, change: Option<PartitionChange>) {
        match change {
            Some(PartitionChange::Detected { lost, known }) => {
                let fields = EventFields::new().count(&lost).limit(&known);
                self.emit(EventCode::RosterSplit, &fields);
            }
            Some(PartitionChange::Healed { lost }) => {
                self.emit(EventCode::RosterHealed, &EventFields::new().count(&lost));
            }
            None => {}
        }
    }

    pub(super) fn record_roster_note(&self, note: &RosterNote) {
        match note {
            RosterNote::Suspected {
                instance,
                observers,
            } => {
                let fields = EventFields::new().peer(instance).count(observers);
                self.emit(EventCode::MemberSuspected, &fields);
            }
            RosterNote::Cleared { instance } => self.emit_peer(EventCode::MemberRefuted, instance),
            RosterNote::Refuted { .. } => {
                let reason = "peers considered this daemon suspect or down";
                let fields = EventFields::new().reason(&reason);
                self.emit(EventCode::SelfSuspected, &fields);
            }
            RosterNote::SelfSuspect { probes } => {
                let reason = "no probe is answered";
                let fields = EventFields::new().count(probes).reason(&reason);
                self.emit(EventCode::SelfSuspected, &fields);
            }
            RosterNote::SelfRecovered => {
                self.emit(EventCode::SelfRecovered, &EventFields::new());
            }
            RosterNote::Stalled { gap } => {
                let fields = EventFields::new();
                let gap = format_duration(whole_millis(*gap));
                self.emit(EventCode::ClockStalled, &fields.duration(&gap));
            }
            RosterNote::ServiceNameTooLong { slot, bytes } => {
                let reason = format!("the name of the service of the backend server {slot}");
                let fields = EventFields::new().count(bytes).reason(&reason);
                self.emit(EventCode::SpreadRefused, &fields);
            }
            RosterNote::TopicBodyTooLarge { topic, bytes } => {
                let reason = format!("a message of topic {topic}");
                let fields = EventFields::new().count(bytes).reason(&reason);
                self.emit(EventCode::SpreadRefused, &fields);
            }
            RosterNote::Joined { members, after } => {
                let after = format_duration(whole_millis(*after));
                let fields = EventFields::new().count(members).duration(&after);
                self.emit(EventCode::RosterJoined, &fields);
            }
        }
    }

    fn emit_peer(&self, code: EventCode, peer: &InstanceId) {
        self.emit(code, &EventFields::new().peer(peer));
    }
}

fn down_event(cause: DownCause) -> EventCode {
    match cause {
        DownCause::Left => EventCode::MemberLeft,
        DownCause::Replaced => EventCode::MemberRestarted,
        DownCause::LostWhileLeaving | DownCause::Dead => EventCode::MemberDown,
    }
}

/// Truncates a duration to whole milliseconds for log lines.
fn whole_millis(duration: Duration) -> Duration {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis)
}
