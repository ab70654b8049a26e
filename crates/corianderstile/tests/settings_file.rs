//! Reading a settings file that changes, at the start and later.

use std::path::PathBuf;
use std::time::Duration;

use corianderstile::{ProcessSettings, SettingsError, SettingsFile};
use tokio::time::sleep;

const SETTINGS: &str = "[bounds]\nshutdown_s = 6.5\n\
    [instance]\nname = instance-1\nzone = berrechid\n\
    [listen]\nsessions = 10.1.0.26:8465\nreadiness = 10.1.0.26:8460\n\
    metrics = 10.1.0.26:7575\npeers = 10.1.0.26:7560\n\
    [promotion]\naddress = 10.200.0.2:8466\n[store]\naddress = 10.200.1.7:8466\n";

/// A file in a directory of its own, which is removed at the end.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn create(test: &str, text: &str) -> Self {
        let name = format!("coriander-{test}-{}.ini", std::process::id());
        let file = Self(std::env::temp_dir().join(name));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("temporary file");
    }

    fn open(&self) -> SettingsFile {
        SettingsFile::new(self.0.clone())
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn shutdown(settings: Result<ProcessSettings, SettingsError>) -> Duration {
    match settings {
        Ok(ProcessSettings::Sessions(settings)) => settings.service.shutdown_timeout,
        other => panic!("expected settings of sessions, got {other:?}"),
    }
}

/// Guards against a start, or a reload, with a part of the file that is being written.
#[ntex::test]
async fn load_waits_until_the_file_is_written() {
    let (part, rest) = SETTINGS.split_at(SETTINGS.len() - 3);
    for first in ["", "[bounds]\n", part] {
        let temporary = TemporaryFile::create("written", first);
        let mut at_start = temporary.open();
        let writer = async {
            sleep(Duration::from_millis(150)).await;
            temporary.write(&format!("{part}{rest}"));
        };
        let (settings, ()) = tokio::join!(at_start.load(), writer);
        assert_eq!(shutdown(settings), Duration::from_millis(6_500));
    }
}

/// Guards against a running process that refuses what a start accepts, or the other way round.
#[ntex::test]
async fn load_and_load_changed_decide_alike() {
    let cases = [
        (SETTINGS.replace("6.5", "900"), true),
        (SETTINGS.replace("6.5", "true"), true),
        (SETTINGS.replace("6.5", "soon"), false),
        (SETTINGS.replace("shutdown_s", "shutdown"), false),
        (SETTINGS.replace("10.200.1.7:8466", ""), false),
        (
            SETTINGS.replace("10.200.1.7:8466\n", "10.200.1.7:8466"),
            true,
        ),
        (String::new(), false),
    ];
    for (text, is_accepted) in cases {
        let temporary = TemporaryFile::create("alike", SETTINGS);
        let mut running = temporary.open();
        assert!(running.load().await.is_ok());
        temporary.write(&text);
        let reloaded = running.load_changed().await.expect("changed");
        let started = temporary.open().load().await;
        assert_eq!(reloaded.is_ok(), is_accepted, "reload of {text}");
        assert_eq!(started.is_ok(), is_accepted, "start with {text}");
    }
}

/// Guards against a log line every two seconds for a file that stays refused or missing.
#[ntex::test]
async fn load_changed_reports_each_content_once() {
    let temporary = TemporaryFile::create("once", SETTINGS);
    let mut file = temporary.open();
    assert!(file.load().await.is_ok());
    assert!(file.load_changed().await.is_none());
    temporary.write("[store]\n");
    assert!(file.load_changed().await.expect("changed").is_err());
    assert!(file.load_changed().await.is_none());
    std::fs::remove_file(&temporary.0).expect("file exists");
    let missing = file.load_changed().await.expect("missing");
    assert!(matches!(missing, Err(SettingsError::Read { .. })));
    assert!(file.load_changed().await.is_none());
    temporary.write(SETTINGS);
    assert!(file.load_changed().await.expect("changed").is_ok());
}
