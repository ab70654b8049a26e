//! Stand-ins for the platform, the database members and the clients, and the cases of the review.
//!
//! `standin CASE FOLDER`: plays a case and writes `record.txt` into its folder. The exit code is 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod client;
mod cut_case;
mod fleet;
mod fraction_case;
mod group;
mod json;
mod left_case;
mod lost_case;
mod record;
mod setup;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::setup::Setup;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = PathBuf::from(folder);
    start_watchdog();
    let result = match case.as_str() {
        "cut" => cut_case::play(&folder, trouble),
        "fraction" => fraction_case::play(&folder, trouble),
        "left" => left_case::play(&folder, trouble),
        "lost" => lost_case::play(&folder, trouble),
        _ => Err("unknown case".into()),
    };
    // Threads of clients still use the deployment, so that it is not dropped.
    setup::clean_up();
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Outcome of a case: whether the rule held.
pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// Ends the case before the limit of a script, with the processes that it has started.
fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(116));
        println!("the case takes too long");
        setup::clean_up();
        std::process::exit(2);
    });
}
