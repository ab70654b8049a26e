//! The settings file, which another program may write while it is read.

use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::process_settings::ProcessSettings;
use super::settings_error::SettingsError;

/// Time for which a file that is not usable may still be being written.
const WRITE_TIME: Duration = Duration::from_secs(1);

/// Interval between two reads of such a file.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Content of a file, or why it could not be read.
type FileContent = Result<String, ErrorKind>;

/// A settings file and what was last read from it. A start and a reload read it in the same way, so
/// that a file that a running process has accepted also starts one.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// What was last loaded.
    last_content: Option<FileContent>,
}

impl SettingsFile {
    /// Names a file without reading it.
    pub const fn new(path: PathBuf) -> Self {
        Self {
            path,
            last_content: None,
        }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the file as it is now.
    pub fn read(&self) -> Result<ProcessSettings, SettingsError> {
        self.parse(&self.read_text())
    }

    /// Reads the file, and waits up to [`WRITE_TIME`] for one that is being written: one that is
    /// refused, or whose last line has no end.
    pub async fn load(&mut self) -> Result<ProcessSettings, SettingsError> {
        let give_up = Instant::now() + WRITE_TIME;
        loop {
            let text = self.read_text();
            let has_end = text.as_ref().is_ok_and(|text| text.ends_with('\n'));
            let settings = self.parse(&text);
            if (has_end && settings.is_ok()) || Instant::now() >= give_up {
                self.last_content = Some(content_of(text));
                return settings;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Reads the file like [`Self::load`] if it has changed since it was last loaded.
    pub async fn load_changed(&mut self) -> Option<Result<ProcessSettings, SettingsError>> {
        let content = Some(content_of(self.read_text()));
        if self.last_content == content {
            return None;
        }
        let earlier = self.last_content.take();
        let settings = self.load().await;
        (self.last_content != earlier).then_some(settings)
    }

    fn read_text(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.path)
    }

    fn parse(&self, text: &io::Result<String>) -> Result<ProcessSettings, SettingsError> {
        match text {
            Ok(text) => ProcessSettings::parse(&self.path, text),
            Err(error) => Err(SettingsError::Read {
                file: self.path.clone(),
                source: io::Error::new(error.kind(), error.to_string()),
            }),
        }
    }
}

fn content_of(text: io::Result<String>) -> FileContent {
    text.map_err(|error| error.kind())
}
