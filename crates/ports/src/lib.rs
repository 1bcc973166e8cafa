//! Network adapters to callers, targets, peers, operators and the platform.
//!
//! The HTTP server uses `hyper`; the HTTP client is [`http_client`]. Nodes
//! exchange messages over `tarpc`. The modules for targets, peers and the
//! platform implement ports that the kernel defines.

pub mod caller;
pub mod capacity;
mod http_body;
pub mod http_client;
mod http_connections;
mod http_exchange;
mod http_head;
mod http_io;
pub mod http_reply;
pub mod http_server;
pub mod listen;
pub mod memory;
pub mod operator;
pub mod peer;
pub mod peer_client;
pub mod platform;
pub mod serving;
pub mod target;
pub mod wire;
