//! Shared types of the tier: identifiers, the clock, messages, the narrow
//! ports towards everything outside, and the registry of plug-ins.
//!
//! Nothing here opens a socket, starts a thread or keeps a store. Data flows
//! through the files in this order: [`id`], [`time`], [`message`], [`control`],
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

pub use id::{CallId, DomainId, Epoch, MapRev, NodeId, Revision, ServiceId, ShardIx, Snapshot};
pub use id::{ONCE_PARTITIONS, QueryId, TargetId};
pub use time::{Clock, Time};
pub use view::{View, ViewCell};
