//! Command line tool for operators.

use argh::FromArgs as _;
use corianderctl::{Arguments, ExitCode, run};

#[ntex::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match Arguments::from_args(&["corianderctl"], &arguments) {
        Ok(arguments) => run(&arguments, &mut std::io::stdout()).await?,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            ExitCode::Accepted
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::Usage
        }
    };
    std::process::exit(i32::from(code as u8));
}
