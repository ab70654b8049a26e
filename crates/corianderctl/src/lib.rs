//! Command line tool for operators.
//!
//! The tool sends JSON over HTTP to the admin address of any instance. A change has a random
//! change id and the version on which it is based; if an instance does not respond, the change is
//! sent to the next one with the same change id, so that it cannot be applied twice.
//!
//! ```
//! use argh::FromArgs as _;
//! use corianderctl::{Arguments, prepare_change};
//!
//! let input = ["--admin", "127.0.0.1:9101", "zone", "out", "mohammedia"];
//! let arguments = Arguments::from_args(&["corianderctl"], &input).expect("valid arguments");
//! assert!(prepare_change(&arguments.command).is_some());
//! ```

mod admin_client;
pub mod arguments;
mod change_builder;
mod check_file;
mod exit_code;
mod render;
mod run;

pub use admin_client::{AdminClient, AdminError};
pub use arguments::Arguments;
pub use change_builder::{NewKey, PreparedChange, prepare_change};
pub use exit_code::ExitCode;
pub use run::run;
