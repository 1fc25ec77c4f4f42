//! Settings of the tool: daemon addresses, operator token and call timeout.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;

use crate::exit::ToolFailure;

/// Environment variable with the addresses at which daemons serve the operators' API, separated by
/// commas.
pub const DAEMON_VARIABLE: &str = "SYCAMORELINK_DAEMON";
/// Environment variable with the operator's token.
pub const TOKEN_VARIABLE: &str = "SYCAMORELINK_TOKEN";
/// Default timeout of a call to one daemon.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Daemon addresses, operator token and call timeout.
#[derive(Clone)]
pub struct ToolSettings {
    /// Addresses at which daemons serve the operators' API, tried in order until one answers.
    pub daemons: Vec<SocketAddr>,
    /// The operator's bearer token; `None` sends calls without authorization.
    pub token: Option<Arc<str>>,
    /// Timeout of a call to one daemon.
    pub timeout: Duration,
}

impl Default for ToolSettings {
    fn default() -> Self {
        Self {
            daemons: Vec::new(),
            token: None,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl fmt::Debug for ToolSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ToolSettings")
            .field("daemons", &self.daemons)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// Values from command-line arguments and environment variables.
#[derive(Clone, Debug, Default)]
pub struct SettingsSource {
    /// Daemon addresses given as arguments.
    pub daemons: Vec<SocketAddr>,
    /// File with the token, given as an argument.
    pub token_file: Option<PathBuf>,
    /// Timeout of a call to one daemon, given as an argument.
    pub timeout: Option<Duration>,
    /// Value of [`DAEMON_VARIABLE`].
    pub daemon_variable: Option<String>,
    /// Value of [`TOKEN_VARIABLE`].
    pub token_variable: Option<String>,
}

impl SettingsSource {
    /// Resolves the settings. Arguments take precedence over environment variables.
    ///
    /// # Errors
    ///
    /// Returns an error if the token file cannot be read or an address in the environment is
    /// invalid.
    pub fn resolve(self) -> anyhow::Result<ToolSettings> {
        let daemons = if self.daemons.is_empty() {
            parse_daemons(self.daemon_variable.as_deref().unwrap_or_default())?
        } else {
            self.daemons
        };
        let token = match self.token_file {
            Some(file) => Some(read_token(&file)?),
            None => self.token_variable.as_deref().map(Arc::from),
        };
        Ok(ToolSettings {
            daemons,
            token,
            timeout: self.timeout.unwrap_or(DEFAULT_TIMEOUT),
        })
    }
}

fn parse_daemons(text: &str) -> anyhow::Result<Vec<SocketAddr>> {
    let addresses = text.split(',').map(str::trim);
    addresses
        .filter(|address| !address.is_empty())
        .map(parse_daemon)
        .collect()
}

fn parse_daemon(address: &str) -> anyhow::Result<SocketAddr> {
    parse_address(address).with_context(|| format!("could not read {DAEMON_VARIABLE}"))
}

/// Parses an IP address with a port.
///
/// # Errors
///
/// Returns [`ToolFailure::Usage`] if the text is not an IP address and a port.
pub fn parse_address(text: &str) -> Result<SocketAddr, ToolFailure> {
    let example = "needs an IP address and a port, as in 10.0.0.1:8081";
    text.parse()
        .map_err(|_| ToolFailure::Usage(format!("`{text}` {example}")))
}

fn read_token(file: &std::path::Path) -> anyhow::Result<Arc<str>> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("could not read the token from {}", file.display()))?;
    Ok(Arc::from(text.trim()))
}
