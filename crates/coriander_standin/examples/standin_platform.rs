//! Runs the stand-in platform.

use coriander_standin::platform::run_platform;

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    run_platform(argh::from_env()).await
}
