//! Shared types of the tier: identifiers, the clock, messages, the interfaces
//! (ports) to systems outside the process, and the registry of plug-ins.
//!
//! The crate opens no sockets, starts no threads and stores no data. Suggested
//! reading order of the modules: [`id`], [`time`], [`message`], [`control`],
//! [`view`], [`routes`], [`port`], [`site`], [`registry`].

pub mod control;
pub mod id;
pub mod message;
pub mod port;
pub mod registry;
pub mod routes;
pub mod site;
pub mod time;
pub mod view;

pub use id::{
    CallId, DomainId, Epoch, Era, MapRev, NodeId, Revision, ServiceId, ShardIx, Snapshot,
};
pub use id::{ONCE_PARTITIONS, QueryId, TargetId};
pub use time::{Clock, Time};
pub use view::{View, ViewCell};
