//! Exit codes of the command.

use coriander_config::ChangeResult;

use crate::AdminError;

/// Exit code of the tool; the numbers are stable, so that scripts can match them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitCode {
    /// The change was accepted, or the requested information was shown.
    Accepted = 0,
    /// The change is not possible, the identifier is unknown, or a check found errors; nothing was
    /// changed.
    Refused = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// The change is recorded, but not confirmed by a majority yet; of a check: only warnings.
    Unconfirmed = 3,
    /// Another change was made first; nothing was changed.
    Conflict = 4,
    /// No instance responded or none reached the platform; nothing was changed.
    Unreachable = 5,
    /// The change may have been made; a repetition with the same change id returns its result.
    Undetermined = 6,
}

impl From<&ChangeResult> for ExitCode {
    fn from(result: &ChangeResult) -> Self {
        match result {
            ChangeResult::Accepted { .. } => Self::Accepted,
            ChangeResult::Unconfirmed { .. } => Self::Unconfirmed,
            ChangeResult::Conflict { .. } => Self::Conflict,
            ChangeResult::Refused { .. } => Self::Refused,
            ChangeResult::NotRecorded => Self::Unreachable,
            ChangeResult::Undetermined => Self::Undetermined,
        }
    }
}

impl From<&AdminError> for ExitCode {
    fn from(error: &AdminError) -> Self {
        match error {
            AdminError::Unreachable(_) => Self::Unreachable,
            AdminError::UnknownId(_) => Self::Refused,
        }
    }
}
