//! Limits that follow from the machine.

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Minimum number of descriptors kept for members, store, other instances and HTTP.
const MIN_OWN_DESCRIPTORS: usize = 128;

/// Use of a part of the memory budget. Each has a share of its own, so that clients that exhaust
/// one leave the others to the other callers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemoryShare {
    /// Messages of up to 64 KiB.
    Small,
    /// Longer messages.
    Large,
    /// Rows from members, until they are written to the client.
    Answers,
    /// Session values and prepared statements.
    Sessions,
}

impl MemoryShare {
    /// All shares, in the order of their index.
    pub const ALL: [Self; 4] = [Self::Small, Self::Large, Self::Answers, Self::Sessions];

    /// Returns the label for metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
            Self::Answers => "answers",
            Self::Sessions => "sessions",
        }
    }

    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// Memory and descriptors of the machine of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineLimits {
    /// Memory in MiB from which the process is killed.
    pub memory_mb: usize,
    /// Maximum number of open descriptors.
    pub descriptors: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory_mb: 512,
            descriptors: 4_096,
        }
    }
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimits {
    /// Bytes of each share, in the order of [`MemoryShare::ALL`].
    pub share_bytes: [usize; 4],
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Maximum number of client connections that have not sent their first line.
    pub max_unidentified: usize,
    /// Maximum number of sessions of a client account.
    pub max_per_account: usize,
}

impl MemoryLimits {
    /// Returns the bytes of a share.
    pub const fn share(&self, share: MemoryShare) -> usize {
        self.share_bytes[share.index()]
    }

    /// Derives the limits. A quarter of the memory is for clients: the rest holds the program, the
    /// configuration and what is counted for no one, such as 4 KiB of input per connection.
    pub fn new(machine: &MachineLimits) -> Self {
        let budget = (machine.memory_mb << 20) / 4;
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let own_descriptors = (sockets / 8).max(MIN_OWN_DESCRIPTORS);
        let max_connections = sockets.saturating_sub(own_descriptors).max(1);
        Self {
            share_bytes: [budget / 8, budget / 2, budget / 4, budget / 8],
            max_connections,
            max_unidentified: (max_connections / 4).max(1),
            max_per_account: (max_connections - max_connections / 16).max(1),
        }
    }
}
