//! State machines for configuration, membership and ownership. They do no
//! I/O: the caller passes in the time, messages and replies of the store.
//!
//! [`lead`] elects the leader of a failure domain. [`domain_leader`] handles the
//! messages that a leader gets from its members: [`grants`] assigns ownership
//! of units on the leader, [`rights`] keeps the units granted to a node, and
//! [`changelog`] selects the changes that each member needs ([`cell`],
//! `scope`). [`replica`] is each node's copy of the tier's state, and
//! [`manifest`] is the stored form of a configuration.

pub mod cell;
pub mod changelog;
pub mod domain_leader;
pub mod grants;
pub mod lead;
pub mod manifest;
pub mod rendezvous;
pub mod replica;
pub mod rights;
mod scope;
