//! Divides the connections that a member accepts among the instances.

/// Minimum number of connections of a home instance to one member.
const MIN_HOME_CONNECTIONS: usize = 6;

/// Number of home instances of a member that suffices when one of them fails. With more of them,
/// their accounts would replace the connections of each other while other home instances have idle
/// ones.
const MAX_HOME_INSTANCES: usize = 6;

/// Divisor for the connections of a member that instances other than its home instances may open.
const NON_HOME_DIVISOR: usize = 4;

/// Limits on the connections of one instance to one member.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCaps {
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Maximum number of connections kept open when idle.
    pub max_idle: usize,
}

impl ConnectionCaps {
    /// Divides the connections of a member. `home_count` home instances keep connections for the
    /// whole fleet; every other instance may open a few for when it reaches no home instance.
    ///
    /// The connections of one home instance are not kept open when idle, but at most half of all:
    /// the connections of an instance that has lost power stay occupied for seconds while others
    /// need new ones in its place.
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
            max_idle: share(Self::idle_connections(connections, home_count)),
        }
    }

    /// Returns how many connections of a member all home instances together keep open when idle.
    fn idle_connections(connections: usize, home_count: usize) -> usize {
        let of_homes = connections - connections / NON_HOME_DIVISOR;
        let of_one_home = of_homes / home_count.max(1);
        (of_homes - of_one_home).max(connections.div_ceil(2))
    }

    /// Returns the maximum number of home instances of one member.
    pub fn max_home_instances(connections: usize) -> usize {
        (connections / MIN_HOME_CONNECTIONS).clamp(1, MAX_HOME_INSTANCES)
    }
}
