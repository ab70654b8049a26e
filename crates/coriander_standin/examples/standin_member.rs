//! Runs one stand-in member of a database group.

use coriander_standin::member::run_member;

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    run_member(argh::from_env()).await
}
