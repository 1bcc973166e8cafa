//! Sockets towards callers, targets, peers, operators and the platform.
//!
//! HTTP is served and sent through `hyper`; nodes talk to each other through
//! `tarpc`. Each file joins one outside system to its port in the kernel.

pub mod caller;
pub mod http_client;
mod http_exchange;
mod http_io;
pub mod http_reply;
pub mod http_server;
pub mod listen;
pub mod operator;
pub mod peer;
pub mod peer_client;
pub mod platform;
pub mod serving;
pub mod target;
pub mod wire;
