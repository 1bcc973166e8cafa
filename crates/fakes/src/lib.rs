//! In-memory stand-ins at the interfaces of the tier, shared by tests,
//! experiments and the socket stand-ins. They run on the runtime's clock.

pub mod gate;
pub mod mesh;
pub mod searcher;
pub mod store;
