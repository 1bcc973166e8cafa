//! Lists the plug-ins linked into a program.

use heatherrun_kernel::registry;

use crate::table::Table;

/// Table with the kind, name and description of each plug-in.
#[must_use]
pub fn table() -> String {
    let mut table = Table::new(&["kind", "name", "about"]);
    for plugin in registry::plugins() {
        table.row([plugin.kind().name(), plugin.name, plugin.about]);
    }
    table.to_string()
}
