//! The registry of plug-ins. A plug-in registers itself with
//! [`inventory::submit!`] in the file that holds it, together with the
//! function that makes or runs it; users find it by kind and name.

use std::net::SocketAddr;

use heatherrun_schema::v1;

pub use inventory;

use crate::port::{Peers, Platform, Targets};

/// What a plug-in does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PluginKind {
    /// Sends calls to targets.
    Targets,
    /// Sends messages to other nodes.
    Peers,
    /// Reaches the platform's store and VM list.
    Platform,
    /// Prints service-level burn.
    Report,
}

impl PluginKind {
    /// Name for operators.
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

/// The function that makes or runs a plug-in.
#[derive(Clone, Copy, Debug)]
pub enum Make {
    /// Port towards targets.
    Targets(fn() -> Targets),
    /// Port towards other nodes.
    Peers(fn() -> Peers),
    /// Port towards the platform at an address.
    Platform(fn(SocketAddr) -> Platform),
    /// Report on service-level burn.
    Report(fn(&v1::BurnAnswer) -> String),
}

/// One plug-in.
#[derive(Debug)]
pub struct Plugin {
    /// Name, unique in its kind.
    pub name: &'static str,
    /// One line for operators.
    pub about: &'static str,
    /// What makes or runs it.
    pub make: Make,
}

inventory::collect!(Plugin);

impl Plugin {
    /// Kind.
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

/// No plug-in of the kind has the name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no {kind} plug-in named {name:?}; use one of {known}", kind = .kind.name())]
pub struct UnknownPlugin {
    /// Kind looked for.
    pub kind: PluginKind,
    /// Name looked for.
    pub name: String,
    /// Names of the kind.
    pub known: String,
}

/// All plug-ins linked into this program, by kind and name.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>().collect();
    all.sort_by_key(|p| (p.kind(), p.name));
    all
}

/// The plug-in of `kind` called `name`.
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

/// Defines the look-up of what plug-ins of one kind make or run.
macro_rules! look_up {
    ($(#[$doc:meta])* $name:ident, $kind:ident, $made:ty) => {
        $(#[$doc])*
        ///
        /// # Errors
        /// [`UnknownPlugin`] when there is none.
        pub fn $name(name: &str) -> Result<$made, UnknownPlugin> {
            match find(PluginKind::$kind, name)?.make {
                Make::$kind(make) => Ok(make),
                _ => unreachable!("a plug-in is of the kind of what makes it"),
            }
        }
    };
}

look_up! {
    /// What makes the port towards targets called `name`.
    targets, Targets, fn() -> Targets
}
look_up! {
    /// What makes the port towards other nodes called `name`.
    peers, Peers, fn() -> Peers
}
look_up! {
    /// What makes the port towards the platform called `name`.
    platform, Platform, fn(SocketAddr) -> Platform
}
look_up! {
    /// The report called `name`.
    report, Report, fn(&v1::BurnAnswer) -> String
}
