//! Identifiers as newtypes. The identifier of an object with a name is the hash
//! of that name, so that all nodes compute the same value independently.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Defines a newtype for an identifier that is the hash of a name.
macro_rules! hashed_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// Identifier of the object called `name`.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

hashed_id! {
    /// Identifier of a node, the daemon on one entry VM.
    NodeId
}
hashed_id! {
    /// Identifier of a failure domain.
    DomainId
}
hashed_id! {
    /// Identifier of a service.
    ServiceId
}
hashed_id! {
    /// Identifier of a target, or of a partition of once-only records, which is
    /// owned in the same way.
    TargetId
}

/// Number of partitions into which the records of once-only requests of one
/// pooled service are divided.
pub const ONCE_PARTITIONS: u16 = 16;

impl TargetId {
    /// Identifier of one partition of a service's records of once-only requests.
    #[must_use]
    pub fn from_partition(service: &str, partition: u16) -> Self {
        Self::from_name(&format!("once/{service}/{partition}"))
    }

    /// Identifier of a searcher; its name is unique only within its service.
    #[must_use]
    pub fn from_searcher(service: &str, searcher: &str) -> Self {
        Self::from_name(&format!("{service}/{searcher}"))
    }
}

/// Defines a newtype for an ordered number, such as a version or an index.
macro_rules! ordered_number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

ordered_number! {
    /// Index of a shard in its service, from 0.
    ShardIx(u16)
}
ordered_number! {
    /// Version of a service's search index; in a call, zero selects the newest
    /// one of the searcher.
    Snapshot(u64)
}
ordered_number! {
    /// Version of a service's shard map.
    MapRev(u64)
}
ordered_number! {
    /// Revision of the platform's store; each write increases it.
    Revision(u64)
}
ordered_number! {
    /// Era of the platform's store, which increases each time the store comes
    /// back from a copy. Revisions of different eras are not comparable. Zero
    /// when the store reports none.
    Era(u64)
}
ordered_number! {
    /// Epoch of the ownership of a target, or of a leader's lease; a higher one
    /// supersedes all lower ones.
    Epoch(u64)
}

/// Identifier of a query or request, unique across nodes and restarts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QueryId {
    /// Hash of the name and start time of the entry, the node that received it.
    pub entry: u64,
    /// Sequence number of the query at that entry.
    pub seq: u64,
}

/// Identifier of one call within a query; the target's reply echoes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallId {
    /// Query that the call belongs to.
    pub query: QueryId,
    /// Sequence number of the call within the query.
    pub attempt: u16,
}

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.entry, self.seq)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.query, self.attempt)
    }
}
