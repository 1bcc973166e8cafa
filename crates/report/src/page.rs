//! Formats service-level burn as one self-contained HTML page: styles and
//! plots are inline, and no other resource is loaded.

use std::fmt::Write as _;

use heatherrun_kernel::registry::{Make, Plugin, inventory};
use heatherrun_schema::v1;

use crate::alert::{Urgency, alerts};
use crate::objective::Objective;
use crate::window::BUDGET_SECS;
use crate::{plot, text, units};

inventory::submit! {
    Plugin {
        name: "html",
        about: "service-level burn as one self-contained page with plots",
        make: Make::Report(page),
    }
}

const RATES_TITLE: &str = "Burn rate by window; red lines alert, hollow points are covered in part";
const OVER_TIME_TITLE: &str =
    "Burn rate over time, a day at the most; the grey line spends the budget exactly";

const STYLE: &str = "
body { margin: 0; background: #f3f5f8; color: #262d38; font: 15px/1.45 sans-serif; }
main { max-width: 1200px; margin: 0 auto; padding: 24px; }
h1 { font-size: 24px; margin: 0 0 4px; }
h2 { font-size: 20px; margin: 0; display: inline-block; }
h3 { font-size: 14px; margin: 10px 0 6px; color: #4a5463; font-weight: 600; }
p { margin: 4px 0; color: #4a5463; }
section { background: #fff; border: 1px solid #dfe3e9; border-radius: 8px; padding: 18px 20px; margin-top: 20px; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(480px, 1fr)); gap: 20px; margin-top: 14px; }
.plots svg { width: 100%; height: auto; display: block; }
.badge { display: inline-block; margin-left: 10px; padding: 2px 10px; border-radius: 10px; color: #fff; font-size: 13px; }
.ok { background: #10705d; } .idle { background: #5a6675; } .ticket { background: #8a5a00; } .page { background: #ba2026; }
.alert { margin: 8px 0 0; padding: 6px 12px; border-left: 4px solid #ba2026; background: #fdf1f1; color: #262d38; }
.key { display: inline-block; margin-right: 18px; }
.key i { display: inline-block; width: 12px; height: 12px; border-radius: 3px; margin-right: 6px; }
";

/// Burn as one HTML page.
#[must_use]
pub fn page(burn: &v1::BurnAnswer) -> String {
    let mut out = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    out += "<title>Service-level burn</title><style>";
    out += STYLE;
    out += "</style></head><body><main>\n<h1>Service-level burn</h1>\n";
    let _ = writeln!(out, "<p>{}</p>", escape(&text::coverage(burn)));
    write_legend(&mut out);
    for service in &burn.services {
        write_service(service, &mut out);
    }
    if burn.services.is_empty() {
        out += "<section><p>no service</p></section>\n";
    }
    out += "</main></body></html>\n";
    out
}

/// Writes the legend: the colour of each objective.
fn write_legend(out: &mut String) {
    out.push_str("<p>");
    for objective in Objective::ALL {
        let (name, colour) = (objective.name(), plot::colour_code(objective.name()));
        let _ = write!(
            out,
            "<span class=\"key\"><i style=\"background:{colour}\"></i>{name}</span>"
        );
    }
    out.push_str("</p>\n");
}

fn write_service(service: &v1::ServiceBurn, out: &mut String) {
    let fired = alerts(service);
    let most_urgent = fired.iter().map(|a| a.rule.urgency).min();
    let (class, label) = match most_urgent {
        Some(Urgency::Page) => ("page", "burning fast"),
        Some(Urgency::Ticket) => ("ticket", "burning"),
        None if service.windows.iter().all(|w| w.total == 0) => ("idle", "no request yet"),
        None if overspent(service) => ("ticket", "budget spent"),
        None => ("ok", "within budget"),
    };
    let name = escape(&service.service);
    let _ = writeln!(
        out,
        "<section><h2>{name}</h2><span class=\"badge {class}\">{label}</span>"
    );
    for alert in &fired {
        let sentence = escape(&text::sentence(alert));
        let _ = writeln!(out, "<p class=\"alert\">{sentence}</p>");
    }
    let period = covered_period(service);
    let columns = [
        [
            (
                format!("Error budget left over {period}"),
                plot::budgets(service),
            ),
            (RATES_TITLE.to_owned(), plot::rates(service)),
        ],
        [
            (
                format!("What burned it over {period}"),
                plot::causes(service),
            ),
            (OVER_TIME_TITLE.to_owned(), plot::over_time(service)),
        ],
    ];
    out.push_str("<div class=\"plots\">\n");
    for column in columns {
        out.push_str("<div>\n");
        for (title, svg) in column {
            let _ = writeln!(out, "<h3>{title}</h3>{}", remove_fixed_size(&svg));
        }
        out.push_str("</div>\n");
    }
    out.push_str("</div></section>\n");
}

/// Length of the budget window, and how much of it has data if not all.
fn covered_period(service: &v1::ServiceBurn) -> String {
    let is_budget_window = |w: &&v1::BurnWindow| w.window_secs == BUDGET_SECS;
    let full_window = units::secs(BUDGET_SECS);
    match service.windows.iter().find(is_budget_window) {
        Some(w) if w.covered_secs < BUDGET_SECS => {
            format!("{} of {full_window}", units::secs(w.covered_secs))
        }
        _ => full_window,
    }
}

/// Whether any objective has spent more than its error budget.
fn overspent(service: &v1::ServiceBurn) -> bool {
    let is_overspent = |w: &v1::BurnWindow| w.window_secs == BUDGET_SECS && w.budget_left < 0.0;
    service.windows.iter().any(is_overspent)
}

/// Removes the fixed width and height of a plot, so that the style sheet sets
/// its size.
fn remove_fixed_size(svg: &str) -> String {
    let Some(start) = svg.find("<svg ") else {
        return svg.to_owned();
    };
    let element = &svg[start..];
    match element.find(" viewBox") {
        Some(view_box) => format!("<svg{}", &element[view_box..]),
        None => element.to_owned(),
    }
}

/// Escapes text for use in HTML elements.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
