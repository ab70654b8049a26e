//! How the connections that a member accepts are divided among the instances.

/// Part of a member's connections that homes keep open without use: one in this many.
const IDLE_DIVISOR: usize = 2;

/// Least connections of a home to one member.
const MIN_HOME_CONNECTIONS: usize = 6;

/// Part of a member's connections that instances may open beside the homes: one in this many.
const NON_HOME_DIVISOR: usize = 4;

/// How many connections to one member an instance may have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCaps {
    /// At most.
    pub max_open: usize,
    /// Without use.
    pub max_idle: usize,
}

impl ConnectionCaps {
    /// Divides the connections of a member. `homes` instances keep connections for the whole
    /// fleet; every instance may open a few of its own if it reaches no home.
    ///
    /// A part is not kept open, because the connections of an instance that has lost power block
    /// theirs for seconds while its successor needs new ones.
    pub fn divide(connections: usize, instances: usize, home_count: usize, is_home: bool) -> Self {
        let non_home = connections / NON_HOME_DIVISOR;
        if !is_home {
            let max_open = (non_home / instances.max(1)).max(1);
            return Self {
                max_open,
                max_idle: 0,
            };
        }
        let share = |connections: usize| (connections / home_count.max(1)).max(1);
        Self {
            max_open: share(connections - non_home),
            max_idle: share(connections.div_ceil(IDLE_DIVISOR)),
        }
    }

    /// Returns how many instances may keep connections to one member. With fewer connections
    /// for each, accounts would replace each other's.
    pub fn max_home_instances(connections: usize) -> usize {
        (connections / MIN_HOME_CONNECTIONS).max(1)
    }
}
