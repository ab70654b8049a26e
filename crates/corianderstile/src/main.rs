//! Command line of the proxy process.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use corianderstile::{InstanceSettings, run_server};

/// Exit code for a settings file that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a process that cannot start, for example because an address is in use.
const EXIT_START: u8 = 3;

/// Database proxy with session consistency.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (INI)
    #[argh(option)]
    config: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

#[ntex::main]
async fn main() -> eyre::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
    let settings = match InstanceSettings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitCode::from(EXIT_SETTINGS));
        }
    };
    if arguments.check {
        println!("{}: settings are valid", arguments.config.display());
        return Ok(ExitCode::SUCCESS);
    }
    if let Err(error) = run_server(settings).await {
        log::error!("proxy: {error}");
        return Ok(ExitCode::from(EXIT_START));
    }
    Ok(ExitCode::SUCCESS)
}
