//! Memory of the answers of members.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_memory::MemoryShare;
use coriander_upstream::{NoMemory, ResponseBudget, ResponseMemory};
use platform_adapter::MemoryGate;

use super::body_reader::FREE_BYTES;

/// Memory of an answer per byte of the member's response: the response, the decoded rows, and the
/// body for the caller.
const COPIES: usize = 3;

/// Maximum wait for memory: longer than the time after which an unread answer gives way.
const MEMORY_WAIT: Duration = Duration::from_secs(5);

/// Takes the memory of answers from what callers may hold.
pub struct AnswerBudget(pub Rc<MemoryGate>);

#[async_trait(?Send)]
impl ResponseBudget for AnswerBudget {
    async fn reserve(&self, body_bytes: usize) -> Result<ResponseMemory, NoMemory> {
        if body_bytes <= FREE_BYTES {
            return Ok(None);
        }
        let share = MemoryShare::Answers;
        let permit = self.0.acquire(share, body_bytes * COPIES, MEMORY_WAIT);
        let permit = permit.await.ok_or(NoMemory)?;
        // Until the answer is written, nobody can give the bytes back.
        permit.set_busy(true);
        Ok(Some(Rc::new(permit)))
    }
}
