//! Alerts by burn rates over two windows: a long one that shows the burn
//! matters, and a short one that shows it goes on.

use heatherrun_schema::v1;

/// How soon an alert wants an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// At once.
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

/// Fires when both windows burn at `rate` or more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Urgency.
    pub urgency: Urgency,
    /// Short window, in seconds.
    pub short: u64,
    /// Long window, in seconds.
    pub long: u64,
    /// Burn rate.
    pub rate: f64,
}

/// Rules, the fastest burn first. The rates spend 2%, 5% and 10% of a
/// 30-day budget within the long window.
pub const RULES: [Rule; 4] = [
    rule(Urgency::Page, 300, 3_600, 14.4),
    rule(Urgency::Page, 1_800, 21_600, 6.0),
    rule(Urgency::Ticket, 7_200, 86_400, 3.0),
    rule(Urgency::Ticket, 21_600, 259_200, 1.0),
];

const fn rule(urgency: Urgency, short: u64, long: u64, rate: f64) -> Rule {
    Rule {
        urgency,
        short,
        long,
        rate,
    }
}

/// One rule that fires for one objective.
#[derive(Clone, Debug, PartialEq)]
pub struct Alert {
    /// Objective.
    pub objective: String,
    /// Rule.
    pub rule: Rule,
    /// Burn rates over the short and the long window.
    pub rates: (f64, f64),
    /// Seconds of the long window for which there is data.
    pub covered: u64,
}

/// Alerts of one service, the most urgent first; one for each objective.
#[must_use]
pub fn alerts(burn: &v1::ServiceBurn) -> Vec<Alert> {
    let mut fired: Vec<Alert> = Vec::new();
    for rule in RULES {
        for long in burn.windows.iter().filter(|w| w.window_secs == rule.long) {
            let same =
                |w: &&v1::BurnWindow| w.objective == long.objective && w.window_secs == rule.short;
            let Some(short) = burn.windows.iter().find(same) else {
                continue;
            };
            let burns = short.burn_rate >= rule.rate && long.burn_rate >= rule.rate;
            let known = fired.iter().any(|a| a.objective == long.objective);
            if !burns || known {
                continue;
            }
            fired.push(Alert {
                objective: long.objective.clone(),
                rule,
                rates: (short.burn_rate, long.burn_rate),
                covered: long.covered_secs,
            });
        }
    }
    fired
}
