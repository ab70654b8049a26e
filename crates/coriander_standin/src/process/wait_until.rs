//! Waits for conditions.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::process_error::ProcessError;

/// Timeout for conditions that normally hold within a second; long because the machine may be busy.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
pub async fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), ProcessError> {
    let start = Instant::now();
    while !condition().await {
        if start.elapsed() > timeout {
            return Err(ProcessError::Timeout {
                condition: description.to_owned(),
                timeout,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
