//! Paths of programs built by Cargo.

use std::path::PathBuf;

use super::process_error::ProcessError;

/// Environment variable with the directory of the shipped binaries, if it is another one.
const BINARY_DIRECTORY: &str = "CORIANDER_BINARY_DIRECTORY";

/// Returns the path of a shipped binary of this workspace.
pub fn program_path(name: &str) -> Result<PathBuf, ProcessError> {
    let directory = match std::env::var_os(BINARY_DIRECTORY) {
        Some(directory) => directory.into(),
        None => profile_directory()?,
    };
    existing(directory.join(name))
}

/// Returns the path of an example of this workspace.
pub fn example_path(name: &str) -> Result<PathBuf, ProcessError> {
    existing(profile_directory()?.join("examples").join(name))
}

/// Returns the directory of the profile, such as `target/debug`.
///
/// Tests lie in its directory `deps`, examples in `examples`.
fn profile_directory() -> Result<PathBuf, ProcessError> {
    let current = std::env::current_exe().map_err(ProcessError::system("current program"))?;
    let mut directory = current;
    directory.pop();
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory.pop();
    }
    Ok(directory)
}

fn existing(path: PathBuf) -> Result<PathBuf, ProcessError> {
    if path.exists() {
        Ok(path)
    } else {
        Err(ProcessError::NotBuilt(path))
    }
}
