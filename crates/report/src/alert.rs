//! Alerts on burn rates over two windows: the long one shows that the burn is
//! significant, the short one that it still continues.

use heatherrun_schema::v1;

/// How soon an operator must respond to an alert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Immediately.
    Page,
    /// Within the working day.
    Ticket,
}

impl Urgency {
    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Page => "page",
            Self::Ticket => "ticket",
        }
    }
}

/// Alert rule; it fires when the burn rate over both windows is at least
/// `min_rate`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Urgency of the alert.
    pub urgency: Urgency,
    /// Short window, in seconds.
    pub short: u64,
    /// Long window, in seconds.
    pub long: u64,
    /// Lowest burn rate that fires.
    pub min_rate: f64,
}

/// Alert rules, the fastest burn first. The rates spend 2%, 5% and 10% of a
/// 30-day budget within the long window.
pub const RULES: [Rule; 4] = [
    rule(Urgency::Page, 300, 3_600, 14.4),
    rule(Urgency::Page, 1_800, 21_600, 6.0),
    rule(Urgency::Ticket, 7_200, 86_400, 3.0),
    rule(Urgency::Ticket, 21_600, 259_200, 1.0),
];

const fn rule(urgency: Urgency, short: u64, long: u64, min_rate: f64) -> Rule {
    Rule {
        urgency,
        short,
        long,
        min_rate,
    }
}

/// A rule that fired for an objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Alert {
    /// Name of the objective.
    pub objective: String,
    /// Rule that fired.
    pub rule: Rule,
    /// Burn rates over the short and the long window.
    pub rates: (f64, f64),
    /// Seconds of the long window for which there is data.
    pub covered_secs: u64,
}

/// Alerts of one service, the most urgent first; at most one for each
/// objective.
#[must_use]
pub fn alerts(burn: &v1::ServiceBurn) -> Vec<Alert> {
    let mut fired: Vec<Alert> = Vec::new();
    for rule in RULES {
        for long in burn.windows.iter().filter(|w| w.window_secs == rule.long) {
            let is_short =
                |w: &&v1::BurnWindow| w.objective == long.objective && w.window_secs == rule.short;
            let Some(short) = burn.windows.iter().find(is_short) else {
                continue;
            };
            let burns = short.burn_rate >= rule.min_rate && long.burn_rate >= rule.min_rate;
            let already_fired = fired.iter().any(|a| a.objective == long.objective);
            if !burns || already_fired {
                continue;
            }
            fired.push(Alert {
                objective: long.objective.clone(),
                rule,
                rates: (short.burn_rate, long.burn_rate),
                covered_secs: long.covered_secs,
            });
        }
    }
    fired
}
