//! The registry of plug-ins. A plug-in registers itself with
//! [`inventory::submit!`] in the file that holds it; the kernel finds it by
//! its kind and name.

pub use inventory;

/// What a plug-in does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PluginKind {
    /// Decides how a query's calls are sent.
    Policy,
    /// Joins the tier to something outside.
    Port,
    /// Prints what the tier did.
    Report,
}

/// One plug-in as listed by the registry.
#[derive(Debug)]
pub struct Plugin {
    /// Kind.
    pub kind: PluginKind,
    /// Name, unique in its kind.
    pub name: &'static str,
    /// One line for operators.
    pub about: &'static str,
}

inventory::collect!(Plugin);

/// All plug-ins linked into this program, by kind and name.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut all: Vec<_> = inventory::iter::<Plugin>().collect();
    all.sort_by_key(|p| (p.kind, p.name));
    all
}
