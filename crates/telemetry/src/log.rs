//! Log set-up: text or JSON lines on standard error.

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

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text, for people.
    #[default]
    Text,
    /// One JSON object a line, for collectors.
    Json,
}

/// Lines that may wait to be written: some seconds of a daemon under load, about 2 MB.
const QUEUED_LINES: usize = 4096;

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogTarget {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Keeps the log's writing thread alive.
pub struct LogGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Lines that found the queue full.
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

/// The `log` part of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Where lines go.
    pub output: LogTarget,
    /// Filter by level and target, such as `info` or `warn,sycamorelink=debug`.
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

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The level is not a filter.
    #[error("log.level {level:?} is not a level or filter: {cause}")]
    Level {
        /// The text found.
        level: String,
        /// What the parser said.
        cause: String,
    },
    /// The process has logging already.
    #[error("logging is set up already")]
    Twice(#[source] TryInitError),
}

impl LogSettings {
    /// Adds what is wrong to the findings, at `place`.
    pub fn check(&self, place: &str, findings: &mut FindingList) {
        if let Err(error) = self.filter() {
            findings.add(format!("{place}.level"), error.to_string());
        }
    }

    /// Sets up logging for the process. Lines are written by a thread of their own as long as the
    /// guard lives; dropping it writes out what is left.
    ///
    /// Failure: whoever reads the log stops reading, the pipe fills up, and every thread that logs
    /// stands still. Lines that find the queue full are dropped instead; the log tells how many.
    ///
    /// # Errors
    ///
    /// [`LogError`] when the level is no filter or logging is set up already.
    pub fn install(&self) -> Result<LogGuard, LogError> {
        let writer: Box<dyn io::Write + Send> = match self.output {
            LogTarget::Stderr => Box::new(io::stderr()),
            LogTarget::Stdout => Box::new(io::stdout()),
        };
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUED_LINES);
        let (writer, guard) = builder.finish(writer);
        let dropped = writer.error_counter();
        self.subscriber(writer)?
            .try_init()
            .map_err(LogError::Twice)?;
        emit(EventCode::LogStarted, &EventFields::new());
        Ok(LogGuard {
            _guard: guard,
            dropped,
        })
    }

    /// A subscriber that writes to `writer`, for a scope or a test.
    ///
    /// # Errors
    ///
    /// [`LogError::Level`] when the level is no filter.
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
