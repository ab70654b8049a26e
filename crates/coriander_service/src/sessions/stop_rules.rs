//! What statements get while the process stops.

use coriander_service_api::{FailureCode, FailureReason, SessionFailure, StatementKind};

use crate::process_lifecycle::ServicePhase;

/// Refuses a statement that can no longer end before the process does.
pub fn check_phase(
    phase: ServicePhase,
    kind: &StatementKind,
    in_transaction: bool,
) -> Result<(), SessionFailure> {
    let is_refused = match kind {
        StatementKind::Begin { .. }
        | StatementKind::Read
        | StatementKind::Write
        | StatementKind::Execute { .. } => phase >= ServicePhase::Finishing,
        StatementKind::Commit => phase >= ServicePhase::Stopping,
        _ => false,
    };
    if !is_refused {
        return Ok(());
    }
    let code = if in_transaction {
        FailureCode::Aborted
    } else {
        FailureCode::Busy
    };
    Err(SessionFailure::new(code, FailureReason::ShuttingDown))
}

/// Returns the failure of a statement that is abandoned while it may run at a member.
/// `may_be_kept` says whether it could take effect there.
pub fn abandoned_failure(may_be_kept: bool) -> SessionFailure {
    let code = if may_be_kept {
        FailureCode::InDoubt
    } else {
        FailureCode::Aborted
    };
    SessionFailure::new(code, FailureReason::ShuttingDown)
}
