//! The registry of plug-ins. The file that implements a plug-in registers it
//! with [`inventory::submit!`], together with the function that creates or runs
//! it. Plug-ins are looked up by kind and name.

use std::net::SocketAddr;

use heatherrun_schema::v1;

pub use inventory;

use crate::port::{Peers, Platform, Targets};

/// Task of a plug-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PluginKind {
    /// Sends calls to targets.
    Targets,
    /// Sends messages to other nodes.
    Peers,
    /// Connects to the platform's store and VM list.
    Platform,
    /// Formats a report on service-level burn rates.
    Report,
}

impl PluginKind {
    /// Name of the kind, as shown to operators.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Peers => "peers",
            Self::Platform => "platform",
            Self::Report => "report",
        }
    }
}

/// The function that creates or runs a plug-in.
#[derive(Clone, Copy, Debug)]
pub enum Make {
    /// Creates the port to targets.
    Targets(fn() -> Targets),
    /// Creates the port to other nodes.
    Peers(fn() -> Peers),
    /// Creates the port to the platform at an address.
    Platform(fn(SocketAddr) -> Platform),
    /// Formats a report on service-level burn rates.
    Report(fn(&v1::BurnAnswer) -> String),
}

/// A registered plug-in.
#[derive(Debug)]
pub struct Plugin {
    /// Name, unique within the kind.
    pub name: &'static str,
    /// One-line description for operators.
    pub about: &'static str,
    /// Function that creates or runs the plug-in.
    pub make: Make,
}

inventory::collect!(Plugin);

impl Plugin {
    /// Kind of the plug-in.
    #[must_use]
    pub const fn kind(&self) -> PluginKind {
        match self.make {
            Make::Targets(_) => PluginKind::Targets,
            Make::Peers(_) => PluginKind::Peers,
            Make::Platform(_) => PluginKind::Platform,
            Make::Report(_) => PluginKind::Report,
        }
    }
}

/// Error: there is no plug-in of the kind with the requested name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no {kind} plug-in named {name:?}; use one of {known}", kind = .kind.name())]
pub struct UnknownPlugin {
    /// Requested kind.
    pub kind: PluginKind,
    /// Requested name.
    pub name: String,
    /// Names of all plug-ins of the kind, separated by commas.
    pub known: String,
}

/// All plug-ins linked into this program, sorted by kind and name.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>().collect();
    all.sort_by_key(|p| (p.kind(), p.name));
    all
}

/// Looks up the plug-in of `kind` called `name`.
///
/// # Errors
/// [`UnknownPlugin`] when there is none.
pub fn find(kind: PluginKind, name: &str) -> Result<&'static Plugin, UnknownPlugin> {
    let of_kind = || plugins().into_iter().filter(move |p| p.kind() == kind);
    of_kind().find(|p| p.name == name).ok_or_else(|| {
        let known: Vec<_> = of_kind().map(|p| p.name).collect();
        UnknownPlugin {
            kind,
            name: name.to_owned(),
            known: known.join(", "),
        }
    })
}

/// Defines a function that looks up a plug-in of one kind by name and returns
/// the function that creates or runs it.
macro_rules! define_lookup {
    ($(#[$doc:meta])* $name:ident, $kind:ident, $function:ty) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// [`UnknownPlugin`] when there is none.
        pub fn $name(name: &str) -> Result<$function, UnknownPlugin> {
            match find(PluginKind::$kind, name)?.make {
                Make::$kind(make) => Ok(make),
                _ => unreachable!("the kind of a plug-in follows from its `make` function"),
            }
        }
    };
}

define_lookup! {
    /// Looks up the function that creates the port to targets called `name`.
    targets, Targets, fn() -> Targets
}
define_lookup! {
    /// Looks up the function that creates the port to other nodes called `name`.
    peers, Peers, fn() -> Peers
}
define_lookup! {
    /// Looks up the function that creates the port to the platform called `name`.
    platform, Platform, fn(SocketAddr) -> Platform
}
define_lookup! {
    /// Looks up the function that formats the report called `name`.
    report, Report, fn(&v1::BurnAnswer) -> String
}
