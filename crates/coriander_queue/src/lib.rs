//! Decisions about requests that wait for a member's connections, without I/O.
//!
//! The caller passes in the time and what it observes, and carries out what is decided.
//!
//! * [`WaitingQueue`] orders the waiting requests and names those that cannot be served in time.
//! * [`StatementGate`] limits how many statements run at the member at a time.
//! * [`OpeningPace`] limits how many connections to a member are opened concurrently.
//! * [`ReturnSchedule`] tells each refused caller a time of its own to come back.

mod account_shares;
mod decayed_rate;
mod opening_pace;
mod queued_request;
mod return_schedule;
mod statement_gate;
mod waiting_queue;

pub use opening_pace::OpeningPace;
pub use queued_request::{QueuedRequest, RequestTicket};
pub use return_schedule::ReturnSchedule;
pub use statement_gate::{StatementGate, StatementNumber};
pub use waiting_queue::{ServiceRate, WaitingQueue};
