//! Decisions on configuration, membership and ownership. No socket, thread
//! or store.
//!
//! [`lead`] elects the leader of a failure domain. [`desk`] is what a leader
//! does with the messages of its members: [`grants`] is its side of
//! ownership, of which [`rights`] is the node's side, and [`changelog`] sends
//! what changed to those that need it ([`cell`], `scope`). [`replica`] is what each
//! node knows of the tier, and [`manifest`] what a configuration consists of.

pub mod cell;
pub mod changelog;
pub mod desk;
pub mod grants;
pub mod lead;
pub mod manifest;
pub mod rendezvous;
pub mod replica;
pub mod rights;
mod scope;
