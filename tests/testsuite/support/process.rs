//! A child process that is killed when the test ends.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

use serde_json::Value;

use super::wait_for;

/// A running process whose first line of output is a JSON object with its listen addresses.
pub struct TestProcess {
    child: Child,
    /// The parsed first line of output.
    pub listening: Value,
}

impl TestProcess {
    /// Starts a program and waits for its first line of output.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file(args))
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the first line is read");
        let listening =
            serde_json::from_str(&line).unwrap_or_else(|_| panic!("{program}: {line:?}"));
        Self { child, listening }
    }

    /// Returns a listen address by its name, and panics when the process did not print it.
    pub fn address(&self, name: &str) -> String {
        self.find_address(name).expect("the address is listed")
    }

    /// Returns a listen address by its name, or `None` when the process did not print it.
    pub fn find_address(&self, name: &str) -> Option<String> {
        self.listening[name].as_str().map(str::to_owned)
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(sent.expect("sh runs").success(), "signal {name} is sent");
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the targets of the process's open file descriptors, as listed in `/proc`.
    pub fn open_descriptors(&self) -> Vec<String> {
        let directory = format!("/proc/{}/fd", self.child.id());
        let entries = std::fs::read_dir(directory).expect("the descriptors are listed");
        entries
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.to_string_lossy().into_owned())
            .collect()
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal("TERM");
        self.wait()
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("a process to end", || self.try_wait())
    }

    /// Returns the exit status, or `None` while the process is running.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child is polled")
    }
}

/// Opens the file for the process's stderr in the directory `TEST_LOG_DIR`; discards stderr when
/// the variable is not set.
fn log_file(args: &[&str]) -> Stdio {
    let Some(directory) = std::env::var_os("TEST_LOG_DIR") else {
        return Stdio::null();
    };
    let name = args.join("-").replace(['/', ' '], "_");
    let path = std::path::Path::new(&directory).join(format!("{name}.log"));
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
