//! Validation rules that types cannot express: required values, ranges, and values that must agree.

use std::collections::BTreeSet;

use serde_json::Value;
use sycamorelink_core::FindingList;

use super::collect::{CollectedDocument, collect_document};
use super::model::{DaemonSettings, FleetKey, OperatorAccount, OperatorRole, STOP_TIME};
use super::sections::check_sections;

/// Minimum length of a fleet key's secret, in bytes.
const MIN_SECRET_LENGTH: usize = 32;
/// Length of a SHA-256 digest in hexadecimal characters.
const DIGEST_LENGTH: usize = 64;
/// Maximum number of threads that serve HTTP on one instance.
const MAX_HTTP_WORKERS: usize = 16;
/// Minimum value of `header_limit`, in bytes; a smaller one would refuse ordinary requests.
const MIN_HEADER_LIMIT: usize = 1 << 10;

impl DaemonSettings {
    /// Parses and checks settings. `file` names the document in findings.
    ///
    /// # Errors
    ///
    /// Every invalid setting, each with its file and JSON path.
    pub fn from_json(text: &str, file: &str) -> Result<Self, FindingList> {
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(error) => {
                let mut findings = FindingList::default();
                findings.add(file, format!("not JSON: {error}"));
                return Err(findings);
            }
        };
        let CollectedDocument {
            document,
            mut findings,
        } = collect_document::<Self>(value);
        document.add_rule_findings(&mut findings);
        with_file(findings, file).into_result()?;
        Ok(document)
    }

    /// Checks settings that were built in code.
    ///
    /// # Errors
    ///
    /// Every invalid setting, each with its JSON path.
    pub fn check(&self) -> Result<(), FindingList> {
        let mut findings = FindingList::default();
        self.add_findings(&mut findings);
        findings.into_result()
    }

    /// Adds the findings of the rules, except at or below a path that already has a finding. The
    /// value there was replaced by its default, so a rule would only report the same fault again.
    fn add_rule_findings(&self, findings: &mut FindingList) {
        let reported: Vec<String> = findings
            .0
            .iter()
            .map(|finding| finding.place.clone())
            .collect();
        let mut rule_findings = FindingList::default();
        self.add_findings(&mut rule_findings);
        let unreported = rule_findings
            .0
            .into_iter()
            .filter(|finding| !reported.iter().any(|place| covers(place, &finding.place)));
        findings.0.extend(unreported);
    }

    fn add_findings(&self, findings: &mut FindingList) {
        findings.expect(
            is_valid_name(&self.instance),
            "instance",
            "needs a name of letters, digits, `-`, `_` and `.`",
        );
        findings.expect(
            is_valid_name(self.domain.as_str()),
            "domain",
            "needs the name of a failure domain",
        );
        findings.expect(is_valid_name(&self.region), "region", "needs a name");
        self.add_address_findings(findings);
        self.add_size_findings(findings);
        self.add_key_findings(findings);
        self.add_operator_findings(findings);
        check_sections(self, findings);
    }

    fn add_address_findings(&self, findings: &mut FindingList) {
        findings.expect(
            self.log.address.port() != 0,
            "log.address",
            "needs the IP address and port of the platform's log",
        );
        findings.expect(
            !self.log.stream.is_empty(),
            "log.stream",
            "needs the name of a stream",
        );
        for (index, seed) in self.seeds.iter().enumerate() {
            let place = format!("seeds[{index}]");
            findings.expect(seed.port() != 0, &place, "port 0 cannot be reached");
        }
        let takes_every_address = self.listen.peers.ip().is_unspecified();
        findings.expect(
            !takes_every_address || self.advertise.is_some(),
            "advertise",
            "needs an address for peers, because `listen.peers` takes every address",
        );
        if let Some(address) = self.advertise {
            let place = "advertise";
            findings.expect(!address.is_unspecified(), place, "peers cannot reach it");
        }
    }

    fn add_size_findings(&self, findings: &mut FindingList) {
        findings.expect(
            (1..=MAX_HTTP_WORKERS).contains(&self.http_workers),
            "http_workers",
            "must be between 1 and 16",
        );
        findings.expect(
            self.header_limit >= MIN_HEADER_LIMIT,
            "header_limit",
            "must be at least 1KB",
        );
        findings.expect(self.body_limit > 0, "body_limit", "must be above 0B");
        findings.expect(
            self.reply_buffer <= self.body_limit,
            "reply_buffer",
            "must not be above `body_limit`",
        );
        findings.expect(
            !self.drain.limit.is_zero(),
            "drain.limit",
            "must be above 0s, or requests in flight are cut off",
        );
        findings.expect(
            self.drain.grace.is_none_or(|grace| grace > STOP_TIME),
            "drain.grace",
            "must be above 200ms, or requests in flight are cut off",
        );
    }

    fn add_key_findings(&self, findings: &mut FindingList) {
        add_key("fleet_keys.current", &self.fleet_keys.current, findings);
        let Some(previous) = &self.fleet_keys.previous else {
            return;
        };
        add_key("fleet_keys.previous", previous, findings);
        findings.expect(
            previous.id != self.fleet_keys.current.id,
            "fleet_keys.previous.id",
            "must differ from the id of the current key",
        );
    }

    fn add_operator_findings(&self, findings: &mut FindingList) {
        let mut names = BTreeSet::new();
        let mut digests = BTreeSet::new();
        for (index, account) in self.operators.iter().enumerate() {
            let place = format!("operators[{index}]");
            add_account(&place, account, findings);
            if !account.name.is_empty() && !names.insert(&account.name) {
                findings.add(format!("{place}.name"), "another account has this name");
            }
            if !account.token_sha256.is_empty() && !digests.insert(&account.token_sha256) {
                let digest = format!("{place}.token_sha256");
                findings.add(digest, "another account has this token");
            }
        }
    }
}

fn add_key(place: &str, key: &FleetKey, findings: &mut FindingList) {
    let id = format!("{place}.id");
    findings.expect(is_valid_name(&key.id), &id, "needs a name for the key");
    let secret = format!("{place}.secret");
    let is_long_enough = key.secret.len() >= MIN_SECRET_LENGTH;
    findings.expect(is_long_enough, &secret, "needs at least 32 characters");
}

fn add_account(place: &str, account: &OperatorAccount, findings: &mut FindingList) {
    let name = format!("{place}.name");
    findings.expect(is_valid_name(&account.name), &name, "needs a name");
    let digest = &account.token_sha256;
    let is_digest =
        digest.len() == DIGEST_LENGTH && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
    let token = format!("{place}.token_sha256");
    findings.expect(
        is_digest,
        &token,
        "needs a SHA-256 of 64 hexadecimal characters",
    );
    let team = format!("{place}.team");
    let has_required_team = account.role != OperatorRole::Publisher || account.team.is_some();
    findings.expect(has_required_team, &team, "a publisher needs a team");
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    !text.is_empty() && text.chars().all(allowed)
}

/// Returns whether the JSON path `place` equals `other` or is a parent of it.
fn covers(place: &str, other: &str) -> bool {
    place == "."
        || other
            .strip_prefix(place)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn with_file(mut findings: FindingList, file: &str) -> FindingList {
    for finding in &mut findings.0 {
        finding.place = format!("{file}: {}", finding.place);
    }
    findings
}
