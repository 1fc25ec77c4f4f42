//! Logging set-up: text or JSON lines on standard error or standard output.

use std::fmt;
use std::io;

use serde::{Deserialize, Serialize};
use sycamorelink_core::FindingList;
use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

use crate::event::{EventCode, EventFields, emit};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text, for reading in a terminal.
    #[default]
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// Maximum number of queued lines: some seconds of a daemon under load, about 2 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Output stream of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogTarget {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Handle of the thread that writes the log; dropping it writes the queued lines.
pub struct LogGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the number of lines dropped because the queue was full.
    #[must_use]
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

impl fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Output stream.
    pub output: LogTarget,
    /// Filter by level and target, for example `info` or `warn,sycamorelink=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            output: LogTarget::Stderr,
            level: "info".to_owned(),
        }
    }
}

/// Error of setting up logging.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The level is not a valid filter.
    #[error("log.level {level:?} is not a level or filter: {cause}")]
    Level {
        /// Value of the setting.
        level: String,
        /// Error message of the parser.
        cause: String,
    },
    /// The process has a global subscriber already.
    #[error("logging is set up already")]
    AlreadyInstalled(#[source] TryInitError),
}

impl LogSettings {
    /// Adds a finding for each invalid value, with `path` as the path of the settings.
    pub fn check(&self, path: &str, findings: &mut FindingList) {
        if let Err(error) = self.filter() {
            findings.add(format!("{path}.level"), error.to_string());
        }
    }

    /// Sets up logging for the process.
    ///
    /// A separate thread writes the lines as long as the guard lives; dropping the guard writes the
    /// lines that are left. When the queue of this thread is full, lines are dropped and counted,
    /// so that a reader that stops reading the pipe does not block every thread that logs.
    ///
    /// # Errors
    ///
    /// [`LogError`] when the level is not a valid filter or logging is set up already.
    pub fn install(&self) -> Result<LogGuard, LogError> {
        let writer: Box<dyn io::Write + Send> = match self.output {
            LogTarget::Stderr => Box::new(io::stderr()),
            LogTarget::Stdout => Box::new(io::stdout()),
        };
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = builder.finish(writer);
        let dropped = writer.error_counter();
        self.subscriber(writer)?
            .try_init()
            .map_err(LogError::AlreadyInstalled)?;
        emit(EventCode::LogStarted, &EventFields::new());
        Ok(LogGuard {
            _guard: guard,
            dropped,
        })
    }

    /// Returns a subscriber that writes to `writer`, for a scope or a test.
    ///
    /// # Errors
    ///
    /// [`LogError::Level`] when the level is not a valid filter.
    pub fn subscriber<W>(&self, writer: W) -> Result<Box<dyn Subscriber + Send + Sync>, LogError>
    where
        W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
    {
        let builder = tracing_subscriber::fmt()
            .with_env_filter(self.filter()?)
            .with_writer(writer)
            .with_ansi(false);
        Ok(match self.format {
            LogFormat::Text => Box::new(builder.finish()),
            LogFormat::Json => Box::new(builder.json().flatten_event(true).finish()),
        })
    }

    fn filter(&self) -> Result<EnvFilter, LogError> {
        EnvFilter::builder()
            .parse(&self.level)
            .map_err(|error| LogError::Level {
                level: self.level.clone(),
                cause: error.to_string(),
            })
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}
