//! Starts daemons and stand-ins as child processes and reads their resource usage.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};

/// Bearer token of the operator.
pub const TOKEN: &str = "measure";
/// Clock ticks per second, the unit of processor time in `/proc` on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Starts a daemon in its own failure domain.
pub fn start_daemon(
    directory: &Path,
    name: &str,
    log: &str,
    seed: Option<&str>,
) -> Result<MeasuredProcess> {
    let settings = json!({
        "instance": name,
        "domain": name,
        "seeds": seed.into_iter().collect::<Vec<_>>(),
        "log": { "address": log },
        "fleet_keys": { "current": { "id": "k", "secret": "0123456789abcdef0123456789abcdef" } },
        "operators": [{
            "name": "measure",
            "token_sha256": sycamorelink_contract::ContentDigest::of(TOKEN.as_bytes()).to_string(),
            "role": "admin",
        }],
    });
    let path = directory.join(format!("{name}.json"));
    std::fs::write(&path, settings.to_string())?;
    let path = path
        .to_str()
        .context("the settings path is not UTF-8")?
        .to_owned();
    MeasuredProcess::start("sycamorelinkd", &["--settings", &path])
}

/// Publishes the sample contract with this rate limit, based on version `base`, and returns the new
/// version.
pub fn publish(operators: &str, base: u64, rate: f64) -> Result<u64> {
    let mut contract: Value =
        serde_json::from_str(&sycamorelink_contract::samples::brannock().to_json())?;
    contract["rate"] = json!({ "per_second": rate });
    contract["concurrency"] = json!(10_000);
    let body = contract.to_string();
    let key = uuid::Uuid::now_v7();
    let mut stream = TcpStream::connect(operators)?;
    write!(
        stream,
        "PUT /v1/contracts/brannock HTTP/1.1\r\nhost: m\r\nauthorization: Bearer {TOKEN}\r\n\
         if-match: \"{base}\"\r\nidempotency-key: {key}\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len(),
    )?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    let (head, body) = reply
        .split_once("\r\n\r\n")
        .context("the reply is incomplete")?;
    if !head.starts_with("HTTP/1.1 200") {
        bail!("the contract was not accepted: {reply}");
    }
    let body: Value = serde_json::from_str(body)?;
    body["version"].as_u64().context("the reply has no version")
}

/// A child process and the JSON line that it printed on startup.
pub struct MeasuredProcess {
    child: Child,
    startup_report: Value,
}

impl MeasuredProcess {
    /// Starts a program of this workspace and reads the first line of its output.
    pub fn start(program: &str, args: &[&str]) -> Result<Self> {
        let mut child = Command::new(executable_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("cannot start {program}; build it first"))?;
        let output = child.stdout.take().context("stdout is not piped")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(Self {
            child,
            startup_report: serde_json::from_str(&line)?,
        })
    }

    /// Returns the named address from the startup line.
    pub fn address(&self, name: &str) -> Result<String> {
        Ok(self.startup_report[name]
            .as_str()
            .context("the startup line lacks an address")?
            .to_owned())
    }

    /// Returns the resident memory in KiB.
    pub fn resident_memory(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let text = line.context("/proc status has no VmRSS line")?;
        Ok(text.trim().trim_end_matches("kB").trim().parse()?)
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_time(&self) -> Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat.rsplit_once(')').context("/proc stat is malformed")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: f64 = fields[11].parse()?;
        let system: f64 = fields[12].parse()?;
        Ok((user + system) / CLOCK_TICKS_PER_SECOND)
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn executable_path(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let directory = own
        .parent()
        .and_then(Path::parent)
        .context("the executable has no target directory")?;
    Ok(directory.join(program))
}
