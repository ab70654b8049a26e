//! Memory of responses, granted before they are read.

use std::any::Any;
use std::rc::Rc;

use async_trait::async_trait;
use thiserror::Error;

/// Memory of a response. Whoever holds the last copy gives it back by dropping it.
pub type ResponseMemory = Option<Rc<dyn Any>>;

/// The process has no memory for a response now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no memory for the response")]
pub struct NoMemory;

/// Grants memory for the responses of members.
#[async_trait(?Send)]
pub trait ResponseBudget {
    /// Waits for the memory of a response with a body of this length.
    async fn reserve(&self, body_bytes: usize) -> Result<ResponseMemory, NoMemory>;
}
