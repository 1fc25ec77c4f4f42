//! Context passed to every operation: output streams, clock and tool settings.

use std::fmt::{self, Display};
use std::io::{self, Write};
use std::sync::Arc;

use anyhow::Context;
use serde::Serialize;
use sycamorelink_core::{NodeClock, SystemClock};

use crate::exit::ToolFailure;
use crate::settings::ToolSettings;

/// Width to which the verb of a status line is right-aligned.
const VERB_WIDTH: usize = 12;

/// Format of the data on stdout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable tables and lines.
    #[default]
    Text,
    /// Indented JSON.
    Json,
}

/// Output streams, clock and settings of one invocation of the tool.
pub struct ShellContext {
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    clock: Arc<dyn NodeClock>,
    settings: ToolSettings,
    terminal: bool,
    quiet: bool,
}

impl fmt::Debug for ShellContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ShellContext")
            .field("settings", &self.settings)
            .field("terminal", &self.terminal)
            .finish_non_exhaustive()
    }
}

impl ShellContext {
    /// Returns a builder that writes to the stdout and stderr of the process and reads the system
    /// clock.
    #[must_use]
    pub fn builder(settings: ToolSettings) -> ShellBuilder {
        ShellBuilder {
            context: Self {
                out: Box::new(io::stdout()),
                err: Box::new(io::stderr()),
                clock: Arc::new(SystemClock::start()),
                settings,
                terminal: false,
                quiet: false,
            },
        }
    }

    /// Returns the clock that operations use for their deadlines.
    #[must_use]
    pub fn clock(&self) -> &Arc<dyn NodeClock> {
        &self.clock
    }

    /// Returns the addresses, token and timeout for calls to daemons.
    #[must_use]
    pub fn settings(&self) -> &ToolSettings {
        &self.settings
    }

    /// Returns whether stdout is a terminal.
    #[must_use]
    pub const fn terminal(&self) -> bool {
        self.terminal
    }

    /// Writes data to stdout.
    ///
    /// # Errors
    ///
    /// Returns an error if stdout cannot be written.
    pub fn data<T>(&mut self, data: T) -> anyhow::Result<()>
    where
        T: Display,
    {
        let text = data.to_string();
        let written = self.out.write_all(text.as_bytes());
        map_write_error(written.and_then(|()| self.out.flush()))
    }

    /// Writes data and a newline to stdout.
    ///
    /// # Errors
    ///
    /// Returns an error if stdout cannot be written.
    pub fn data_line<T>(&mut self, data: T) -> anyhow::Result<()>
    where
        T: Display,
    {
        self.data(format_args!("{data}\n"))
    }

    /// Writes a value as indented JSON to stdout.
    ///
    /// # Errors
    ///
    /// Returns an error if stdout cannot be written.
    pub fn data_json<T>(&mut self, value: &T) -> anyhow::Result<()>
    where
        T: Serialize,
    {
        let text = serde_json::to_string_pretty(value).context("could not write JSON")?;
        self.data_line(text)
    }

    /// Writes a status line to stderr: a verb, then its subject. Omitted in quiet mode.
    pub fn status<T>(&mut self, verb: &str, subject: T)
    where
        T: Display,
    {
        if !self.quiet {
            self.err_line(format_args!("{verb:>VERB_WIDTH$} {subject}"));
        }
    }

    /// Writes a warning to stderr, also in quiet mode.
    pub fn warn<T>(&mut self, message: T)
    where
        T: Display,
    {
        self.err_line(format_args!("warning: {message}"));
    }

    /// Writes a hint to stderr. Omitted in quiet mode.
    pub fn hint<T>(&mut self, message: T)
    where
        T: Display,
    {
        if !self.quiet {
            self.err_line(format_args!("hint: {message}"));
        }
    }

    /// Writes an error with its causes to stderr. The first line names the operation that failed.
    pub fn error(&mut self, error: &anyhow::Error) {
        self.err_line(format_args!("error: {error}"));
        let causes: Vec<String> = error.chain().skip(1).map(ToString::to_string).collect();
        if causes.is_empty() {
            return;
        }
        self.err_line("");
        self.err_line("Caused by:");
        for cause in causes {
            for line in cause.lines() {
                self.err_line(format_args!("  {line}"));
            }
        }
    }

    /// Writes a line to stderr. Write errors are ignored, so a closed stderr fails no operation.
    fn err_line<T>(&mut self, line: T)
    where
        T: Display,
    {
        let _ = writeln!(self.err, "{line}");
    }
}

/// Maps a broken pipe to [`ToolFailure::OutputClosed`], which exits with success: a reader such as
/// `head` closes the pipe once it has read enough.
fn map_write_error(written: io::Result<()>) -> anyhow::Result<()> {
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
            Err(ToolFailure::OutputClosed.into())
        }
        other => other.context("could not write to stdout"),
    }
}

/// Builder of a [`ShellContext`].
#[derive(Debug)]
pub struct ShellBuilder {
    context: ShellContext,
}

impl ShellBuilder {
    /// Replaces the stdout of the process as the destination of data.
    #[must_use]
    pub fn out(mut self, out: Box<dyn Write + Send>) -> Self {
        self.context.out = out;
        self
    }

    /// Replaces the stderr of the process as the destination of status lines, warnings and errors.
    #[must_use]
    pub fn err(mut self, err: Box<dyn Write + Send>) -> Self {
        self.context.err = err;
        self
    }

    /// Replaces the system clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn NodeClock>) -> Self {
        self.context.clock = clock;
        self
    }

    /// Sets whether stdout is a terminal. The default is `false`.
    #[must_use]
    pub const fn terminal(mut self, terminal: bool) -> Self {
        self.context.terminal = terminal;
        self
    }

    /// Sets whether status lines and hints are omitted. The default is `false`.
    #[must_use]
    pub const fn quiet(mut self, quiet: bool) -> Self {
        self.context.quiet = quiet;
        self
    }

    /// Returns the finished context.
    #[must_use]
    pub fn build(self) -> ShellContext {
        self.context
    }
}
