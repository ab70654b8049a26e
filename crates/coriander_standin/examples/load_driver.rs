//! Runs the load of a deployment against instances and prints a report.

use coriander_standin::load::run_driver;

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let report = run_driver(argh::from_env()).await?;
    println!("{report}");
    Ok(())
}
