//! Decisions on configuration, membership and ownership. No socket, thread
//! or store.

pub mod rendezvous;
