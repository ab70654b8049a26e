//! What a protocol front needs from the process: sessions that execute statements.

use async_trait::async_trait;

use crate::{ClientStatement, SessionFailure, SessionResponse};

/// Opens sessions for a protocol front.
#[async_trait(?Send)]
pub trait SessionHost {
    /// Opens a session for a database with a key.
    async fn open(
        &self,
        database: &str,
        key: &str,
    ) -> Result<Box<dyn ClientSession>, SessionFailure>;
}

/// A client's session. Dropping it rolls back an open transaction.
#[async_trait(?Send)]
pub trait ClientSession {
    /// Executes one statement.
    async fn execute(&mut self, statement: ClientStatement) -> SessionResponse;

    /// Waits between statements and returns when the front should close the connection.
    ///
    /// Dropping the future is allowed at any time.
    async fn wait_for_close(&mut self);
}
