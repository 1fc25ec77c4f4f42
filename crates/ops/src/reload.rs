//! Reloads the settings of a running daemon on SIGHUP and periodically.
//!
//! ```text
//! file ──▶ read and check ─┬─ findings ──▶ logged, the settings in force stay
//!                          ├─ unchanged ─▶ logged on SIGHUP only
//!                          └─ changed ───▶ seeds apply now, the rest at the next start
//! ```

use std::path::{Path, PathBuf};

use sycamorelink_core::FindingList;
use sycamorelink_daemon::DaemonHandle;
use sycamorelink_daemon::adapters::DaemonAdapters;
use sycamorelink_daemon::settings::DaemonSettings;
use sycamorelink_telemetry::{EventCode, EventFields, emit};

use crate::settings_check::read_settings;

/// Function that creates the adapters that the settings select, or returns findings.
pub type AdapterFactory<'a> = &'a dyn Fn(&DaemonSettings) -> Result<DaemonAdapters, FindingList>;

/// Settings in force and the file that they were read from.
pub struct SettingsReload<'a> {
    file: PathBuf,
    in_force: DaemonSettings,
    factory: AdapterFactory<'a>,
    /// Last rejection that was logged, so that the same invalid file is logged only once.
    last_rejection: Option<String>,
}

impl<'a> SettingsReload<'a> {
    /// Creates the reload state of a daemon that started with these settings.
    #[must_use]
    pub fn new(file: &Path, in_force: DaemonSettings, factory: AdapterFactory<'a>) -> Self {
        Self {
            file: file.to_owned(),
            in_force,
            factory,
            last_rejection: None,
        }
    }

    /// Reads the file again and applies its changes. `requested` is set on SIGHUP, when the result
    /// is logged in any case.
    pub fn read(&mut self, handle: &DaemonHandle, requested: bool) {
        match self.read_checked() {
            Ok(settings) => {
                self.last_rejection = None;
                self.apply(handle, settings, requested);
            }
            Err(reason) => {
                if requested || self.last_rejection.as_ref() != Some(&reason) {
                    let fields = EventFields::new().reason(&reason);
                    emit(EventCode::SettingsRejected, &fields);
                }
                self.last_rejection = Some(reason);
            }
        }
    }

    fn read_checked(&self) -> Result<DaemonSettings, String> {
        let settings = read_settings(&self.file).map_err(|error| format!("{error:#}"))?;
        if settings == self.in_force {
            return Ok(settings);
        }
        match (self.factory)(&settings) {
            Ok(_) => Ok(settings),
            Err(findings) => Err(findings.to_string()),
        }
    }

    fn apply(&mut self, handle: &DaemonHandle, settings: DaemonSettings, requested: bool) {
        let changed = settings != self.in_force;
        if !changed && !requested {
            return;
        }
        if settings.seeds != self.in_force.seeds {
            handle.set_seeds(settings.seeds.clone());
        }
        let needs_restart = DaemonSettings {
            seeds: settings.seeds.clone(),
            ..self.in_force.clone()
        } != settings;
        let outcome = match (changed, needs_restart) {
            (false, _) => "nothing changed",
            (true, false) => "taken over",
            (true, true) => "some changes wait for the next start",
        };
        emit(
            EventCode::SettingsReloaded,
            &EventFields::new().reason(&outcome),
        );
        self.in_force = settings;
    }
}
