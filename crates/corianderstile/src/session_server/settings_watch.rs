//! Applies changed settings without a restart.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use coriander_service::SessionService;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::SessionSettings;

/// Interval between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings file again at each SIGHUP and at intervals, until the process ends.
pub async fn watch_settings(path: PathBuf, service: Rc<SessionService>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP cannot be received");
            return;
        }
    };
    let mut last_text = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(path:% = path.display(), error:% = error; "settings cannot be read");
                continue;
            }
        };
        let changed = text != last_text;
        if signalled {
            log::info!(changed = changed; "SIGHUP received");
        }
        if !changed {
            continue;
        }
        match SessionSettings::parse(&path, &text) {
            Ok(settings) => service.apply_settings(&settings.service),
            Err(error) => log::error!(error:% = error; "changed settings are not used"),
        }
        last_text = text;
    }
}
