//! Applies changed settings without a restart.

use std::rc::Rc;
use std::time::Duration;

use coriander_service::SessionService;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::settings::{ProcessSettings, SettingsError, SettingsFile};

/// Interval between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings file again at each SIGHUP and at intervals, until the process ends.
pub async fn watch_settings(mut file: SettingsFile, service: Rc<SessionService>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP cannot be received");
            return;
        }
    };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let changed = file.load_changed().await;
        if signalled {
            log::info!(changed = changed.is_some(); "SIGHUP received");
        }
        if let Some(settings) = changed {
            reload(settings, &service);
        }
    }
}

/// Applies settings. With a file that is refused the process goes on with the settings in force,
/// and shows that it would not start with this file.
fn reload(settings: Result<ProcessSettings, SettingsError>, service: &SessionService) {
    service.metrics.set_settings_refused(settings.is_err());
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            log::error!(error:% = error; "changed settings are refused, and no process starts with them");
            return;
        }
    };
    for note in settings.notes() {
        log::warn!("settings: {note}");
    }
    match settings {
        ProcessSettings::Sessions(settings) => service.apply_settings(&settings.service),
        ProcessSettings::Hrana(_) => {
            log::error!("changed settings are for another kind of instance and need a restart");
        }
    }
}
