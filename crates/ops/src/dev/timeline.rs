//! Timeline of a `dev` session: faults, drains and the reactions of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::snapshot::{FleetSnapshot, UpstreamSnapshot};
use crate::view::SHIFTED_WEIGHT;

/// Minimum weight of an upstream that counts as restored.
const RESTORED_WEIGHT: f64 = 0.9;
/// Time after the end of a fault during which reactions are still attributed to it.
const FAULT_GRACE: Duration = Duration::from_secs(10);

/// One entry of the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// Time since the scenario started.
    pub at: Duration,
    /// Whether the fleet acted; otherwise the scenario acted on the fleet.
    pub by_fleet: bool,
    /// Text for the operator.
    pub text: String,
}

/// One injected fault and the reaction times of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRecord {
    /// Name of the instance.
    pub instance: String,
    /// Label of the fault for tables.
    pub label: &'static str,
    /// Start time, since the scenario started.
    pub started: Duration,
    /// End time, since the scenario started; `None` while the fault lasts.
    pub ended: Option<Duration>,
    /// Time from the start until most of the work was shifted elsewhere; `None` if never.
    pub shifted_after: Option<Duration>,
    /// Time from the start until most daemons had ejected the upstream; `None` if never.
    pub ejected_after: Option<Duration>,
}

/// One drain of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecord {
    /// Name of the instance.
    pub instance: String,
    /// Start time, since the scenario started.
    pub started: Duration,
    /// Time until the daemon was drained; `None` before that.
    pub duration: Option<Duration>,
}

/// Reaction stage of the fleet towards one upstream, from mildest to strongest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum UpstreamStage {
    #[default]
    Serving,
    Reduced,
    Shifted,
    Ejected,
}

/// Everything that has happened in the session so far.
#[derive(Clone, Debug, Default)]
pub struct FleetTimeline {
    /// Entries in chronological order.
    pub entries: Vec<TimelineEntry>,
    /// Injected faults, in order of their start.
    pub faults: Vec<FaultRecord>,
    /// Drains, in order of their start.
    pub drains: Vec<DrainRecord>,
    /// Number of ejections of healthy upstreams.
    pub false_ejections: usize,
    stages: BTreeMap<String, UpstreamStage>,
}

impl FleetTimeline {
    /// Records a scenario step that acted on an instance.
    pub fn record_step(&mut self, at: Duration, instance: &str, text: &str) {
        self.entries.push(TimelineEntry {
            at,
            by_fleet: false,
            text: format!("{instance} {text}"),
        });
    }

    /// Records the start of a fault, or with an empty label the end of the current one.
    pub fn record_fault(&mut self, at: Duration, instance: &str, label: &'static str) {
        if label.is_empty() {
            let mut faults = self.faults.iter_mut().rev();
            if let Some(fault) = faults.find(|fault| fault.instance == instance) {
                fault.ended = Some(at);
            }
            return;
        }
        self.faults.push(FaultRecord {
            instance: instance.to_owned(),
            label,
            started: at,
            ended: None,
            shifted_after: None,
            ejected_after: None,
        });
    }

    /// Records the start of a drain.
    pub fn record_drain(&mut self, at: Duration, instance: &str) {
        self.drains.push(DrainRecord {
            instance: instance.to_owned(),
            started: at,
            duration: None,
        });
    }

    /// Records that a daemon is drained. Later calls for the same drain have no effect.
    pub fn record_drained(&mut self, at: Duration, instance: &str) {
        let mut drains = self.drains.iter_mut();
        let open =
            |drain: &&mut DrainRecord| drain.instance == instance && drain.duration.is_none();
        let Some(drain) = drains.find(open) else {
            return;
        };
        let duration = at.saturating_sub(drain.started);
        drain.duration = Some(duration);
        self.entries.push(TimelineEntry {
            at,
            by_fleet: true,
            text: format!(
                "{instance} has nothing left and may be stopped ({:.0}s after its drain began)",
                duration.as_secs_f64()
            ),
        });
    }

    /// Returns whether a drain is still in progress.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drains.iter().any(|drain| drain.duration.is_none())
    }

    /// Records the reactions of the fleet since the previous snapshot.
    pub fn record_snapshot(&mut self, snapshot: &FleetSnapshot) {
        for service in &snapshot.services {
            for upstream in &service.upstreams {
                self.record_upstream(snapshot, upstream);
            }
        }
    }

    fn record_upstream(&mut self, snapshot: &FleetSnapshot, upstream: &UpstreamSnapshot) {
        // A leaving or departed upstream gets no work because it leaves, not because it is
        // suspected.
        if matches!(upstream.phase.as_str(), "leaving" | "") {
            return;
        }
        let before = self
            .stages
            .get(&upstream.instance)
            .copied()
            .unwrap_or_default();
        let stage = stage_of(upstream, snapshot.daemons, before);
        if stage == before {
            return;
        }
        self.stages.insert(upstream.instance.clone(), stage);
        self.record_fault_stage(snapshot.now, upstream, stage);
        self.entries.push(TimelineEntry {
            at: snapshot.now,
            by_fleet: true,
            text: stage_text(upstream, snapshot.daemons, before, stage),
        });
    }

    fn record_fault_stage(
        &mut self,
        now: Duration,
        upstream: &UpstreamSnapshot,
        stage: UpstreamStage,
    ) {
        let is_attributed = |fault: &&mut FaultRecord| {
            fault.instance == upstream.instance
                && fault.ended.is_none_or(|ended| now <= ended + FAULT_GRACE)
        };
        match self.faults.iter_mut().rev().find(is_attributed) {
            Some(fault) => {
                let after = now.saturating_sub(fault.started);
                if stage >= UpstreamStage::Shifted {
                    fault.shifted_after.get_or_insert(after);
                }
                if stage == UpstreamStage::Ejected {
                    fault.ejected_after.get_or_insert(after);
                }
            }
            None => self.false_ejections += usize::from(stage == UpstreamStage::Ejected),
        }
    }
}

/// Returns the stage of an upstream. The thresholds have hysteresis, so that a weight that varies
/// slightly does not flood the timeline with entries.
fn stage_of(upstream: &UpstreamSnapshot, daemons: usize, before: UpstreamStage) -> UpstreamStage {
    if upstream.ejected * 2 > daemons {
        return UpstreamStage::Ejected;
    }
    if upstream.weight < SHIFTED_WEIGHT {
        return UpstreamStage::Shifted;
    }
    if upstream.weight >= RESTORED_WEIGHT {
        return UpstreamStage::Serving;
    }
    match before {
        UpstreamStage::Serving if upstream.reduced * 2 > daemons => UpstreamStage::Reduced,
        UpstreamStage::Serving => UpstreamStage::Serving,
        _ => UpstreamStage::Reduced,
    }
}

fn stage_text(
    upstream: &UpstreamSnapshot,
    daemons: usize,
    before: UpstreamStage,
    stage: UpstreamStage,
) -> String {
    let instance = &upstream.instance;
    let percent = upstream.weight * 100.0;
    match stage {
        UpstreamStage::Serving => format!("{instance} has its full share of work"),
        UpstreamStage::Reduced | UpstreamStage::Shifted if before > stage => {
            format!("{instance} is given work again ({percent:.0}% of its share)")
        }
        UpstreamStage::Reduced => format!(
            "{} of {daemons} daemons give {instance} less work ({percent:.0}% of its share)",
            upstream.reduced
        ),
        UpstreamStage::Shifted => {
            format!("most work of {instance} goes elsewhere ({percent:.0}% of its share left)")
        }
        UpstreamStage::Ejected => {
            format!(
                "{} of {daemons} daemons have ejected {instance}",
                upstream.ejected
            )
        }
    }
}
