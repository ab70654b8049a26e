//! Paths of programs built by Cargo.

use std::path::PathBuf;

use super::process_error::ProcessError;

/// Environment variable that overrides the directory of the shipped binaries.
const BINARY_DIRECTORY: &str = "CORIANDER_BINARY_DIRECTORY";

/// Returns the path of a shipped binary of this workspace.
pub fn program_path(name: &str) -> Result<PathBuf, ProcessError> {
    let directory = match std::env::var_os(BINARY_DIRECTORY) {
        Some(directory) => directory.into(),
        None => profile_directory()?,
    };
    require_existing(directory.join(name))
}

/// Returns the path of an example of this workspace.
pub fn example_path(name: &str) -> Result<PathBuf, ProcessError> {
    require_existing(profile_directory()?.join("examples").join(name))
}

/// Returns the build directory of the profile, such as `target/debug`.
///
/// Test executables are in its subdirectory `deps`, examples in `examples`.
fn profile_directory() -> Result<PathBuf, ProcessError> {
    let current = std::env::current_exe().map_err(ProcessError::system(
        "failed to find the current executable",
    ))?;
    let mut directory = current;
    directory.pop();
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory.pop();
    }
    Ok(directory)
}

fn require_existing(path: PathBuf) -> Result<PathBuf, ProcessError> {
    if path.exists() {
        Ok(path)
    } else {
        Err(ProcessError::NotBuilt(path))
    }
}
