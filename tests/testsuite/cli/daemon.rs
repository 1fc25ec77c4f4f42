//! A daemon process operated through the command line.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use sycamorelink_contract::ContentDigest;
use tempfile::TempDir;

use super::render;

/// Number of polls after which a wait fails.
const MAX_POLLS: u32 = 200;
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// File in the site's directory that collects stderr of all its processes.
const LOG_FILE: &str = "site.log";

fn append_to(file: &Path) -> File {
    let mut options = File::options();
    let opened = options.append(true).create(true).open(file);
    opened.expect("a log file")
}

/// A child process and the listen addresses from its first line of output. The process is killed
/// when the value is dropped.
struct SiteProcess {
    child: Child,
    listening: serde_json::Value,
}

impl SiteProcess {
    fn start(program: &str, args: &[&str], directory: &Path) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .current_dir(directory)
            .stdout(Stdio::piped())
            .stderr(append_to(&directory.join(LOG_FILE)))
            .spawn()
            .expect("the process starts");
        let out = child.stdout.take().expect("its stdout");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        let listening = serde_json::from_str(&line).expect("a JSON line");
        Self { child, listening }
    }

    fn address(&self, name: &str) -> String {
        self.listening[name]
            .as_str()
            .expect("an address")
            .to_owned()
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stand-in log, a daemon and a backend server, each in a separate process.
pub(super) struct SiteFixture {
    directory: TempDir,
    _log: SiteProcess,
    daemon: SiteProcess,
    _backend: SiteProcess,
}

impl SiteFixture {
    pub(super) fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path();
        let tool = env!("CARGO_BIN_EXE_sycamorelink");
        let log = SiteProcess::start(tool, &["stand-in", "log", "--for", "60s"], path);
        fs::write(path.join("node.json"), settings(&log.address("address"))).expect("a file");
        let program = env!("CARGO_BIN_EXE_sycamorelinkd");
        let daemon = SiteProcess::start(program, &["--settings", "node.json"], path);
        let operators = daemon.address("operators");
        let args = [
            "stand-in", "backend", "--for", "60s", "--beside", &operators,
        ];
        let backend = SiteProcess::start(tool, &args, path);
        Self {
            directory,
            _log: log,
            daemon,
            _backend: backend,
        }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Returns the address of the daemon's operators' port.
    pub(super) fn operators(&self) -> SocketAddr {
        self.daemon
            .address("operators")
            .parse()
            .expect("an address")
    }

    /// Writes the sample contract to a file.
    pub(super) fn write_sample(&self, name: &str) {
        let sample = sycamorelink_contract::samples::brannock_json();
        fs::write(self.file(name), sample).expect("a file");
    }

    /// Runs the tool as the operator and replaces ids, times and addresses, which vary between
    /// runs.
    fn run(&self, args: &[&str]) -> String {
        let operators = self.daemon.address("operators");
        let output = Command::new(env!("CARGO_BIN_EXE_sycamorelink"))
            .args(args)
            .current_dir(self.directory.path())
            .env("SYCAMORELINK_DAEMON", &operators)
            .env("SYCAMORELINK_TOKEN", "operator-demo")
            .output()
            .expect("the tool runs");
        let text = hide_times(&hide_ids(&render(&output)));
        text.replace(&operators, "DAEMON")
    }

    /// Waits until a process of the site logs a line that contains the text, and returns the line.
    pub(super) fn wait_logged(&self, text: &str) -> String {
        for _ in 0..MAX_POLLS {
            let log = fs::read_to_string(self.file(LOG_FILE)).expect("the log");
            if let Some(line) = log.lines().find(|line| line.contains(text)) {
                return line.to_owned();
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("never logged {text:?}");
    }

    /// Runs the tool repeatedly until its output contains the text, and returns the output.
    pub(super) fn run_until(&self, args: &[&str], text: &str) -> String {
        let mut last = String::new();
        for _ in 0..MAX_POLLS {
            last = self.run(args);
            if last.contains(text) {
                return last;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("never printed {text:?}, at last:\n{last}");
    }
}

fn settings(log: &str) -> String {
    let token = ContentDigest::of(b"operator-demo");
    format!(
        r#"{{"instance": "i-1", "domain": "d1", "log": {{"address": "{log}"}},
            "fleet_keys": {{"current": {{"id": "k1", "secret": "0123456789abcdef0123456789abcdef"}}}},
            "drain": {{"limit": "1s"}},
            "operators": [{{"name": "ada", "token_sha256": "{token}", "role": "admin"}}]}}"#
    )
}

fn hide_ids(text: &str) -> String {
    let words = text.split(|letter: char| !letter.is_ascii_hexdigit() && letter != '-');
    let ids: Vec<&str> = words
        .filter(|word| word.replace('-', "").len() == 32)
        .collect();
    ids.iter()
        .fold(text.to_owned(), |text, id| text.replace(id, "ID"))
}

/// Replaces times such as `2026-01-31T08:15:00Z` by a placeholder of the same width.
fn hide_times(text: &str) -> String {
    let is_time = |word: &&str| word.len() == 20 && word.ends_with('Z') && word.contains('T');
    let words = text.split_ascii_whitespace();
    words.filter(is_time).fold(text.to_owned(), |text, time| {
        text.replace(time, "YYYY-MM-DDThh:mm:ssZ")
    })
}

// Guards against a lost update: an operator amends a contract, and a second amendment of the
// outdated version must be rejected with the change that won.
#[test]
fn contract_lifecycle_from_publish_to_remove() {
    let site = SiteFixture::start();
    let sample = sycamorelink_contract::samples::brannock_json();
    site.write_sample("first.json");
    let amended = sample.replace("\"per_second\": 400", "\"per_second\": 500");
    fs::write(site.file("second.json"), amended).expect("a file");
    let texts = [
        site.run_until(&["contract", "publish", "first.json"], "exit code 0"),
        site.run(&["contract", "diff", "second.json"]),
        site.run(&["contract", "amend", "second.json", "--base", "1"]),
        site.run(&["contract", "amend", "first.json", "--base", "v1"]),
        site.run(&["contract", "show"]),
        site.run(&["contract", "history", "brannock"]),
        site.run(&[
            "contract", "rollback", "brannock", "--to", "1", "--base", "2",
        ]),
        site.run(&["contract", "remove", "brannock", "--base", "current"]),
        site.run(&["contract", "show", "brannock"]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn backend_server_is_listed_with_its_daemon() {
    let site = SiteFixture::start();
    site.run_until(&["fleet"], "orders");
    let instance = site.run_until(&["instance"], "orders");
    assert!(instance.contains("in region r1"), "{instance}");
    let service = site.run(&["service", "orders"]);
    assert!(service.contains("i-1"), "{service}");
    insta::assert_snapshot!(site.run(&["service", "order"]));
}

// Guards against overload control that changes what scripts read of a fleet without it.
#[test]
fn service_without_overload_control_has_neither_queues_nor_refusals() {
    let site = SiteFixture::start();
    let texts = [
        site.run_until(&["service", "orders"], "  1.00  "),
        site.run(&["service", "orders", "--format", "json"]),
    ];
    insta::assert_snapshot!(texts.join("\n"));
}

#[test]
fn wrong_token_is_denied() {
    let site = SiteFixture::start();
    let file = site.file("token");
    fs::write(&file, "guess\n").expect("a file");
    insta::assert_snapshot!(site.run(&["--token-file", "token", "fleet"]));
}

#[test]
fn daemon_with_invalid_settings_does_not_start() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(
        directory.path().join("node.json"),
        "{\"instanse\": \"i-1\"}",
    )
    .expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_sycamorelinkd"))
        .args(["--settings", "node.json"])
        .current_dir(directory.path())
        .output()
        .expect("the daemon runs");
    insta::assert_snapshot!(render(&output));
}
