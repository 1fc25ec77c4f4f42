//! Reads the settings again while the daemon runs, on SIGHUP and now and then without it.
//!
//! ```text
//! file ──▶ read and check ─┬─ findings ──▶ told, the settings in force stay
//!                          ├─ unchanged ─▶ told on SIGHUP only
//!                          └─ changed ───▶ seeds are taken over; the rest at the next start
//! ```

use std::path::{Path, PathBuf};

use sycamorelink_core::FindingList;
use sycamorelink_daemon::DaemonHandle;
use sycamorelink_daemon::border::DaemonBorders;
use sycamorelink_daemon::settings::DaemonSettings;
use sycamorelink_telemetry::{EventCode, EventFields, emit};

use crate::settings_check::read_settings;

/// Chooses the borders that settings ask for, or tells what is wrong with them.
pub type BorderChoice<'a> = &'a dyn Fn(&DaemonSettings) -> Result<DaemonBorders, FindingList>;

/// The settings in force and the file that they came from.
pub struct SettingsReload<'a> {
    file: PathBuf,
    in_force: DaemonSettings,
    borders: BorderChoice<'a>,
    /// The last refusal that was told, so that a faulty file is told once.
    refused: Option<String>,
}

impl<'a> SettingsReload<'a> {
    /// Settings that were read from a file and are in force.
    #[must_use]
    pub fn new(file: &Path, in_force: DaemonSettings, borders: BorderChoice<'a>) -> Self {
        Self {
            file: file.to_owned(),
            in_force,
            borders,
            refused: None,
        }
    }

    /// Reads the file again. `asked` tells whether somebody waits for the outcome.
    pub fn read(&mut self, handle: &DaemonHandle, asked: bool) {
        match self.checked() {
            Ok(settings) => {
                self.refused = None;
                self.take(handle, settings, asked);
            }
            Err(reason) => {
                if asked || self.refused.as_ref() != Some(&reason) {
                    let fields = EventFields::new().reason(&reason);
                    emit(EventCode::SettingsRejected, &fields);
                }
                self.refused = Some(reason);
            }
        }
    }

    fn checked(&self) -> Result<DaemonSettings, String> {
        let settings = read_settings(&self.file).map_err(|error| format!("{error:#}"))?;
        if settings == self.in_force {
            return Ok(settings);
        }
        match (self.borders)(&settings) {
            Ok(_) => Ok(settings),
            Err(findings) => Err(findings.to_string()),
        }
    }

    fn take(&mut self, handle: &DaemonHandle, settings: DaemonSettings, asked: bool) {
        let changed = settings != self.in_force;
        if !changed && !asked {
            return;
        }
        if settings.seeds != self.in_force.seeds {
            handle.set_seeds(settings.seeds.clone());
        }
        let restart = DaemonSettings {
            seeds: settings.seeds.clone(),
            ..self.in_force.clone()
        } != settings;
        let outcome = match (changed, restart) {
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
