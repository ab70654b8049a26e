//! Plays the cases of the review with stand-ins for clients, members and the platform.
//!
//! `standin CASE FOLDER` plays one case, writes `record.txt` into the folder and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod json;
mod member;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::cases::Verdict;
use crate::record::Record;

/// Maximum time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("record.txt cannot be written");
        return ExitCode::from(2);
    };
    // All processes end with this one.
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = cases::play(&case, trouble, &record);
    record.write(&format!("verdict   {}", verdict.text()));
    println!("{}", verdict.text());
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken(_) => ExitCode::from(1),
        Verdict::NotRun(_) => ExitCode::from(2),
    }
}
