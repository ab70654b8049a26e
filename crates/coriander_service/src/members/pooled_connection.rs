//! A connection to a member with its session state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::StatementNumber;
use coriander_service_api::{
    LinkError, MemberLink, MemberStatement, PreparedShape, ReplyBatch, SessionValues,
};

/// Number of prepared statements of a connection above which all are dropped.
const MAX_PREPARED: usize = 256;

/// Length of the values and prepared statements above which a connection is not used again. A
/// connection lives longer than the sessions that set them, so clients could fill its state.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// An open connection with its session state.
pub struct PooledConnection {
    pub(crate) link: Box<dyn MemberLink>,
    /// Client account that was sent to the member.
    pub(crate) account: Arc<str>,
    /// Session values set on the connection.
    pub(crate) values: SessionValues,
    prepared: HashMap<PreparedShape, Arc<str>>,
    /// Length of the prepared statements.
    prepared_bytes: usize,
    last_name_number: u32,
    /// Whether an exchange was started and its replies were not all read; they would be taken for
    /// those of the next one.
    has_unread_replies: bool,
    /// Whether the member has the values and prepared statements that are recorded here.
    is_state_known: bool,
    /// Time of the last acquisition or release.
    pub(crate) last_used: MonotonicTime,
    /// Statement that was let through to the member with the connection.
    pub(crate) statement: Option<StatementNumber>,
}

impl PooledConnection {
    /// Wraps a connection that was opened for an account.
    pub fn new(link: Box<dyn MemberLink>, account: Arc<str>, now: MonotonicTime) -> Self {
        Self {
            link,
            account,
            values: SessionValues::default(),
            prepared: HashMap::new(),
            prepared_bytes: 0,
            last_name_number: 0,
            has_unread_replies: false,
            is_state_known: true,
            last_used: now,
            statement: None,
        }
    }

    /// Sends statements and reads their replies.
    pub async fn run(
        &mut self,
        statements: &[MemberStatement],
        timeout: Duration,
    ) -> Result<ReplyBatch, LinkError> {
        self.has_unread_replies = true;
        let replies = self.link.run(statements, timeout).await?;
        self.has_unread_replies = false;
        Ok(replies)
    }

    /// Returns whether another operation may use the connection.
    pub fn is_reusable(&self) -> bool {
        let kept_bytes = self.values.kept_bytes() + self.prepared_bytes;
        !self.has_unread_replies && self.is_state_known && kept_bytes <= MAX_KEPT_BYTES
    }

    /// Sends statements that change values or drop prepared statements; fails with the first
    /// refusal, after which the state of the connection is unknown.
    async fn change_state(
        &mut self,
        statements: &[MemberStatement],
        timeout: Duration,
    ) -> Result<(), LinkError> {
        self.is_state_known = false;
        for reply in self.run(statements, timeout).await? {
            reply.result?;
        }
        self.is_state_known = true;
        Ok(())
    }

    /// Sets the values of a session on the connection; fails with the first refusal.
    pub async fn apply_values(
        &mut self,
        values: &SessionValues,
        timeout: Duration,
    ) -> Result<(), LinkError> {
        let statements = self.values.changes_to(values);
        if statements.is_empty() {
            return Ok(());
        }
        if statements.contains(&MemberStatement::Reset) {
            self.prepared.clear();
            self.prepared_bytes = 0;
        }
        self.change_state(&statements, timeout).await?;
        self.values = values.clone();
        Ok(())
    }

    /// Returns the name of a prepared statement on this connection, preparing it if necessary.
    pub async fn prepare(
        &mut self,
        shape: &PreparedShape,
        timeout: Duration,
    ) -> Result<Arc<str>, LinkError> {
        if let Some(name) = self.prepared.get(shape) {
            return Ok(name.clone());
        }
        if self.prepared.len() >= MAX_PREPARED {
            self.change_state(&[MemberStatement::Reset], timeout)
                .await?;
            self.prepared.clear();
            self.prepared_bytes = 0;
            let values = std::mem::take(&mut self.values);
            self.apply_values(&values, timeout).await?;
        }
        self.last_name_number += 1;
        let name: Arc<str> = format!("p{}", self.last_name_number).into();
        let statement = MemberStatement::Prepare {
            name: name.clone(),
            access: shape.access,
            shape: shape.shape.clone(),
        };
        for reply in self.run(&[statement], timeout).await? {
            reply.result?;
        }
        self.prepared_bytes += shape.shape.len();
        self.prepared.insert(shape.clone(), name.clone());
        Ok(name)
    }

    /// Removes a prepared statement that the member no longer has.
    pub fn remove_prepared(&mut self, shape: &PreparedShape) {
        if self.prepared.remove(shape).is_some() {
            self.prepared_bytes -= shape.shape.len();
        }
    }
}
