//! Builder of settings in code, for tests and for the local fleet of `sycamorelink dev`.

use std::net::SocketAddr;
use std::sync::Arc;

use sycamorelink_core::{DomainName, FindingList};

use super::model::{DaemonSettings, FleetKey, ListenAddresses, OperatorAccount};

/// Builder of [`DaemonSettings`]. By default the daemon listens on free ports of the loopback
/// interface.
#[derive(Clone, Debug, Default)]
pub struct SettingsBuilder {
    settings: DaemonSettings,
}

impl DaemonSettings {
    /// Creates a builder for the settings of an instance in a failure domain.
    #[must_use]
    pub fn builder(instance: &str, domain: &str) -> SettingsBuilder {
        let settings = DaemonSettings {
            instance: Arc::from(instance),
            domain: DomainName::new(domain),
            ..DaemonSettings::default()
        };
        SettingsBuilder { settings }
    }
}

impl SettingsBuilder {
    /// Sets the address of the platform's log service.
    #[must_use]
    pub fn log_address(mut self, address: SocketAddr) -> Self {
        self.settings.log.address = address;
        self
    }

    /// Sets the name of the log stream that carries contract changes.
    #[must_use]
    pub fn stream(mut self, stream: &str) -> Self {
        self.settings.log.stream = Arc::from(stream);
        self
    }

    /// Sets the addresses that the daemon listens on.
    #[must_use]
    pub fn listen(mut self, listen: ListenAddresses) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the gossip addresses of other daemons to join through.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets the id and secret of the fleet's current key.
    #[must_use]
    pub fn fleet_key(mut self, id: &str, secret: &str) -> Self {
        self.settings.fleet_keys.current = FleetKey {
            id: Arc::from(id),
            secret: Arc::from(secret),
        };
        self
    }

    /// Adds an account of the operators' API.
    #[must_use]
    pub fn operator(mut self, account: OperatorAccount) -> Self {
        self.settings.operators.push(account);
        self
    }

    /// Changes settings that have no builder method of their own.
    #[must_use]
    pub fn adjust<F>(mut self, change: F) -> Self
    where
        F: FnOnce(&mut DaemonSettings),
    {
        change(&mut self.settings);
        self
    }

    /// Checks and returns the settings.
    ///
    /// # Errors
    ///
    /// Every invalid setting, each with its JSON path.
    pub fn build(self) -> Result<DaemonSettings, FindingList> {
        self.settings.check()?;
        Ok(self.settings)
    }
}
