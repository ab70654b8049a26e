//! Command line of the proxy process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use coriander_journal::start_journal;
use corianderstile::{ProcessSettings, SettingsFile, run_server, run_session_server};
use platform_adapter::SETTINGS_VARIABLE;

/// Maximum time for writing the remaining log lines at exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Exit code for a settings file that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Log filter without RUST_LOG; the `ntex` crates log each component start at info level.
const DEFAULT_LOG_FILTER: &str = "info,ntex_rt=warn,ntex_server=warn,ntex_service=warn";

/// Exit code for a process that cannot start, for example because an address is in use.
const EXIT_START: u8 = 3;

/// Database proxy with session consistency.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (INI); without it, the platform's environment variable names the file
    #[argh(option)]
    config: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

#[ntex::main]
async fn main() -> eyre::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let journal = start_journal(DEFAULT_LOG_FILTER)?;
    let Some(path) = settings_path(arguments.config) else {
        eprintln!("no settings file: give --config or set {SETTINGS_VARIABLE}");
        return Ok(ExitCode::from(EXIT_SETTINGS));
    };
    let mut file = SettingsFile::new(path);
    if arguments.check {
        return Ok(print_check(&file));
    }
    let settings = match file.load().await {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_SETTINGS));
        }
    };
    for note in settings.notes() {
        log::warn!("settings: {note}");
    }
    let result = match settings {
        ProcessSettings::Hrana(settings) => run_server(*settings).await,
        ProcessSettings::Sessions(settings) => run_session_server(file, *settings).await,
    };
    if let Err(error) = &result {
        log::error!("process: cannot start: {error}");
    }
    journal.flush(FLUSH_TIMEOUT);
    if result.is_err() {
        return Ok(ExitCode::from(EXIT_START));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the result of `--check`. Notes are no failure: a process starts with these settings.
fn print_check(file: &SettingsFile) -> ExitCode {
    let settings = match file.read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let path = file.path().display();
    for note in settings.notes() {
        eprintln!("{path}: warning: {note}");
    }
    println!("{path}: settings are valid");
    ExitCode::SUCCESS
}

fn settings_path(option: Option<PathBuf>) -> Option<PathBuf> {
    option.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
}
