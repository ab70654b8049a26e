//! Interface between protocol fronts and the process: sessions that execute statements.

use std::sync::Arc;

use async_trait::async_trait;

use crate::{ClientStatement, SessionFailure, SessionResponse, TransactionStatus};

/// Opens sessions for a protocol front.
#[async_trait(?Send)]
pub trait SessionHost {
    /// Opens a session for a database, authenticated by a key.
    async fn open(
        &self,
        database: &str,
        key: &str,
    ) -> Result<Box<dyn ClientSession>, SessionFailure>;
}

/// A client's session. Dropping it rolls back an open transaction.
#[async_trait(?Send)]
pub trait ClientSession {
    /// Returns the client account of the session.
    fn account(&self) -> Arc<str>;

    /// Returns the memory of its values and prepared statements, which it keeps until it ends.
    fn kept_bytes(&self) -> usize;

    /// Refuses a statement that the front has not passed on, for lack of memory. Nothing of an
    /// open transaction is kept.
    fn refuse(&mut self) -> SessionResponse;

    /// Returns the state of the transaction. An idle limit may have ended it since the last
    /// response.
    fn transaction(&self) -> TransactionStatus;

    /// Executes one statement.
    async fn execute(&mut self, statement: ClientStatement) -> SessionResponse;

    /// Waits until the front should close the client's connection; called between statements.
    ///
    /// The future may be dropped at any time.
    async fn wait_for_close(&mut self);
}
