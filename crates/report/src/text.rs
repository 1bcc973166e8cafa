//! Formats service-level burn as text tables and as JSON.

use std::fmt::Write as _;

use heatherrun_kernel::registry::{Make, Plugin, inventory};
use heatherrun_schema::v1;

use crate::alert::{Alert, alerts};
use crate::table::Table;
use crate::units;
use crate::window::BUDGET_SECS;

/// Maximum number of causes shown for one service.
const MAX_CAUSES_SHOWN: usize = 12;

inventory::submit! {
    Plugin {
        name: "table",
        about: "service-level burn as tables of text",
        make: Make::Report(table),
    }
}

inventory::submit! {
    Plugin {
        name: "json",
        about: "service-level burn as JSON for programs",
        make: Make::Report(json),
    }
}

/// Burn as JSON.
#[must_use]
pub fn json(burn: &v1::BurnAnswer) -> String {
    serde_json::to_string_pretty(burn).unwrap_or_default() + "\n"
}

/// Burn as tables.
#[must_use]
pub fn table(burn: &v1::BurnAnswer) -> String {
    let mut text = String::new();
    for service in &burn.services {
        write_service(service, &mut text);
    }
    if burn.services.is_empty() {
        text += "no service\n";
    }
    text += &coverage(burn);
    text.push('\n');
    text
}

/// One sentence that says which nodes were counted, and for how long.
#[must_use]
pub fn coverage(burn: &v1::BurnAnswer) -> String {
    let name = |n: &v1::BurnNode| format!("{} ({})", n.name, units::secs(n.covered_secs));
    let names: Vec<_> = burn.nodes.iter().map(name).collect();
    let mut text = format!("counted by {}", names.join(", "));
    if !burn.uncounted.is_empty() {
        text.push_str("; not counted: ");
        text.push_str(&burn.uncounted.join(", "));
    }
    text.push_str("; a node counts from its start, and what replaced nodes counted is gone");
    text
}

/// Describes one alert in a sentence.
#[must_use]
pub fn sentence(alert: &Alert) -> String {
    let Alert { rule, rates, .. } = alert;
    let partial = if alert.covered_secs < rule.long {
        format!(" ({} of it covered)", units::secs(alert.covered_secs))
    } else {
        String::new()
    };
    format!(
        "{}: {} burns {} over {} and {} over {}{partial}, both at {} or more",
        rule.urgency.name(),
        alert.objective,
        units::rate(rates.0),
        units::secs(rule.short),
        units::rate(rates.1),
        units::secs(rule.long),
        units::rate(rule.min_rate),
    )
}

fn write_service(service: &v1::ServiceBurn, text: &mut String) {
    let _ = writeln!(text, "service {}", service.service);
    for alert in alerts(service) {
        let _ = writeln!(text, "  {}", sentence(&alert));
    }
    let mut windows = Table::new(&[
        "objective",
        "target",
        "window",
        "covered",
        "good",
        "total",
        "burn",
        "budget left",
    ]);
    for window in &service.windows {
        let is_budget_window = window.window_secs == BUDGET_SECS;
        let budget_left = if is_budget_window && window.total > 0 {
            units::share(window.budget_left)
        } else {
            String::new()
        };
        windows.row([
            window.objective.clone(),
            units::ppm(window.target_ppm),
            units::secs(window.window_secs),
            units::secs(window.covered_secs),
            window.good.to_string(),
            window.total.to_string(),
            units::rate(window.burn_rate),
            budget_left,
        ]);
    }
    write_indented(&windows, "no objective is declared", text);
    write_indented(
        &causes_table(&service.causes),
        "nothing burned the budget",
        text,
    );
    text.push('\n');
}

fn causes_table(all_causes: &[v1::BurnCause]) -> Table {
    let mut table = Table::new(&[
        "burned by",
        "failure domain",
        "target",
        "objective",
        "count",
        "over",
    ]);
    for cause in all_causes.iter().take(MAX_CAUSES_SHOWN) {
        table.row([
            cause.cause.clone(),
            cause.domain.clone(),
            cause.target.clone(),
            cause.objective.clone(),
            cause.count.to_string(),
            units::secs(cause.window_secs),
        ]);
    }
    table
}

/// Writes an indented table, or `empty_text` in place of an empty one.
fn write_indented(table: &Table, empty_text: &str, text: &mut String) {
    if table.is_empty() {
        let _ = writeln!(text, "  {empty_text}");
        return;
    }
    for line in table.to_string().lines() {
        let _ = writeln!(text, "  {line}");
    }
}
