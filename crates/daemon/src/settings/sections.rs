//! Checks the sections that belong to the packages of the decision logic.
//!
//! The sections stay JSON in [`DaemonSettings`]. Each is deserialized here as its package does it,
//! so that its faults are reported together with all others. Failure detection has no section,
//! because the customers' contracts determine its settings.

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sycamorelink_core::{FindingList, nearest_name};
use sycamorelink_guard::GuardSettings;
use sycamorelink_limits::{
    CrashSettings, GateSettings, OverloadSettings, QuotaSettings, ShareSettings,
};
use sycamorelink_policy::PolicySettings;
use sycamorelink_roster::RosterSettings;

use super::collect::collect_document;
use super::model::DaemonSettings;

/// Names of the parts of the section `limits`.
const LIMIT_PARTS: [&str; 5] = ["share", "crash", "gate", "quota", "overload"];

/// Returns the defaults of every section as one JSON object.
#[must_use]
pub fn section_defaults() -> Value {
    json!({
        "limits": {
            "share": ShareSettings::default(),
            "crash": CrashSettings::default(),
            "gate": GateSettings::default(),
            "quota": QuotaSettings::default(),
            "overload": OverloadSettings::default(),
        },
        "guard": GuardSettings::default(),
        "roster": RosterSettings::default(),
        "policy": PolicySettings::default(),
    })
}

/// Adds the findings about all sections.
pub(super) fn check_sections(settings: &DaemonSettings, findings: &mut FindingList) {
    if let Some(roster) = read_section::<RosterSettings>("roster", &settings.roster, findings) {
        add_under("roster", roster.validate(), findings);
    }
    read_section::<PolicySettings>("policy", &settings.policy, findings);
    read_section::<GuardSettings>("guard", &settings.guard, findings);
    check_limits(&settings.limits, findings);
}

fn check_limits(limits: &Value, findings: &mut FindingList) {
    let Some(parts) = limits.as_object() else {
        findings.add("limits", "must be an object");
        return;
    };
    for name in parts.keys() {
        if !LIMIT_PARTS.contains(&name.as_str()) {
            findings.add(format!("limits.{name}"), unknown_part(name));
        }
    }
    let part = |name: &str| limits.get(name);
    if let Some(share) = part("share") {
        check_part::<ShareSettings, _>("limits.share", share, ShareSettings::validate, findings);
    }
    if let Some(crash) = part("crash") {
        check_part::<CrashSettings, _>("limits.crash", crash, CrashSettings::validate, findings);
    }
    if let Some(gate) = part("gate") {
        check_part::<GateSettings, _>("limits.gate", gate, GateSettings::validate, findings);
    }
    if let Some(quota) = part("quota") {
        check_part::<QuotaSettings, _>("limits.quota", quota, QuotaSettings::validate, findings);
    }
    if let Some(overload) = part("overload") {
        let validate = OverloadSettings::validate;
        check_part::<OverloadSettings, _>("limits.overload", overload, validate, findings);
    }
}

fn unknown_part(name: &str) -> String {
    match nearest_name(name, LIMIT_PARTS) {
        Some(nearest) => format!("unknown `{name}`; did you mean `{nearest}`?"),
        None => format!("unknown `{name}`; known are {}", LIMIT_PARTS.join(", ")),
    }
}

fn check_part<T, F>(place: &str, value: &Value, validate: F, findings: &mut FindingList)
where
    T: DeserializeOwned + Default,
    F: FnOnce(&T, &str) -> Result<(), FindingList>,
{
    let Some(part) = read_section::<T>(place, value, findings) else {
        return;
    };
    if let Err(found) = validate(&part, place) {
        findings.0.extend(found.0);
    }
}

/// Deserializes a section. Adds its findings and returns `None` if there are any.
fn read_section<T>(place: &str, value: &Value, findings: &mut FindingList) -> Option<T>
where
    T: DeserializeOwned + Default,
{
    if !value.is_object() {
        findings.add(place, "must be an object");
        return None;
    }
    let collected = collect_document::<T>(value.clone());
    let is_valid = collected.findings.0.is_empty();
    add_under(place, collected.findings, findings);
    is_valid.then_some(collected.document)
}

fn add_under(place: &str, found: FindingList, findings: &mut FindingList) {
    for finding in found.0 {
        findings.add(format!("{place}.{}", finding.place), finding.message);
    }
}
