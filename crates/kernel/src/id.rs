//! Identifiers as newtypes. Those of named things are hashes of the name, so
//! that every node computes the same value without asking anyone.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Defines one identifier that is the hash of a name.
macro_rules! hashed_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// Identifier of the thing called `name`.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{:016x}", self.0)
            }
        }
    };
}

hashed_id! {
    /// One entry VM.
    NodeId
}
hashed_id! {
    /// One failure domain.
    DomainId
}
hashed_id! {
    /// One service.
    ServiceId
}
hashed_id! {
    /// One searcher; see [`TargetId::of_searcher`].
    TargetId
}

/// Partitions of the once-only records of one pooled service.
pub const ONCE_PARTITIONS: u16 = 16;

impl TargetId {
    /// Identifier of one partition of a service's once-only records.
    #[must_use]
    pub fn of_partition(service: &str, partition: u16) -> Self {
        Self::of(&format!("once/{service}/{partition}"))
    }

    /// Identifier of a searcher, whose name is unique within its service.
    #[must_use]
    pub fn of_searcher(service: &str, searcher: &str) -> Self {
        Self::of(&format!("{service}/{searcher}"))
    }
}

/// Defines one counter that orders versions of something.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(out)
            }
        }
    };
}

counter! {
    /// Position of a shard in its service.
    ShardIx(u16)
}
counter! {
    /// Version of a service's index; zero asks for the searcher's newest.
    Snapshot(u64)
}
counter! {
    /// Version of a service's shard map.
    MapRev(u64)
}
counter! {
    /// Revision of the platform store.
    Revision(u64)
}
counter! {
    /// Generation of the right to send to one target; a higher one supersedes.
    Epoch(u64)
}

/// One query or request, unique across nodes and restarts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct QueryId {
    /// Hash of the entry's name and start time.
    pub entry: u64,
    /// Count of queries at that entry.
    pub seq: u64,
}

/// One call of one query; the target's reply repeats it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallId {
    /// The query.
    pub query: QueryId,
    /// Count of calls within the query.
    pub attempt: u16,
}

impl fmt::Display for QueryId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}-{:x}", self.entry, self.seq)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{:x}", self.query, self.attempt)
    }
}
