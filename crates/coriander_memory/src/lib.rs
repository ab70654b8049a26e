//! Memory and connections that clients may hold, without I/O.
//!
//! ```
//! use coriander_core::MonotonicTime;
//! use coriander_memory::{ByteBudget, MachineLimits, MemoryLimits, MemoryShare};
//!
//! let limits = MemoryLimits::new(&MachineLimits::default());
//! let mut budget = ByteBudget::new(&limits);
//! let holder = budget.reserve(MemoryShare::Large, 1 << 20, MonotonicTime::ZERO);
//! assert!(holder.is_some());
//! ```

mod byte_budget;
mod connection_table;
mod memory_limits;
mod write_pace;

pub use byte_budget::{ByteBudget, HolderId};
pub use connection_table::{Admission, ConnectionNumber, ConnectionTable};
pub use memory_limits::{MachineLimits, MemoryLimits, MemoryShare};
pub use write_pace::WritePace;
