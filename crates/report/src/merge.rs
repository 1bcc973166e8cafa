//! Merges the burn answers of several nodes. Counts are added; the time that
//! each node covers is kept with its name.

use heatherrun_schema::v1;

use crate::history::Counts;
use crate::window;

/// Adds the answer `more` to `sum`.
pub fn merge(sum: &mut v1::BurnAnswer, more: v1::BurnAnswer) {
    for node in more.nodes {
        if !sum.nodes.iter().any(|n| n.name == node.name) {
            sum.nodes.push(node);
        }
    }
    sum.nodes.sort_by(|a, b| a.name.cmp(&b.name));
    sum.uncounted.extend(more.uncounted);
    sum.uncounted.sort();
    sum.uncounted.dedup();
    let counted = |name: &str| sum.nodes.iter().any(|n| n.name == name);
    sum.uncounted.retain(|name| !counted(name));
    for service in more.services {
        match sum
            .services
            .iter_mut()
            .find(|s| s.service == service.service)
        {
            Some(kept) => merge_service(kept, service),
            None => sum.services.push(service),
        }
    }
    sum.services.sort_by(|a, b| a.service.cmp(&b.service));
}

fn merge_service(sum: &mut v1::ServiceBurn, more: v1::ServiceBurn) {
    for window in more.windows {
        let has_same_key = |w: &&mut v1::BurnWindow| {
            w.objective == window.objective && w.window_secs == window.window_secs
        };
        match sum.windows.iter_mut().find(has_same_key) {
            Some(kept) => merge_window(kept, &window),
            None => sum.windows.push(window),
        }
    }
    for cause in more.causes {
        let has_same_key = |c: &&mut v1::BurnCause| {
            c.objective == cause.objective
                && c.domain == cause.domain
                && c.target == cause.target
                && c.cause == cause.cause
        };
        match sum.causes.iter_mut().find(has_same_key) {
            Some(kept) => kept.count += cause.count,
            None => sum.causes.push(cause),
        }
    }
    sum.causes.sort_by_key(|c| std::cmp::Reverse(c.count));
    for series in more.series {
        let has_same_key = |s: &&mut v1::BurnSeries| s.objective == series.objective;
        match sum.series.iter_mut().find(has_same_key) {
            Some(kept) => merge_series(kept, &series),
            None => sum.series.push(series),
        }
    }
}

fn merge_window(sum: &mut v1::BurnWindow, more: &v1::BurnWindow) {
    sum.good += more.good;
    sum.total += more.total;
    sum.covered_secs = sum.covered_secs.max(more.covered_secs);
    let counts = Counts {
        good: sum.good,
        total: sum.total,
    };
    sum.burn_rate = window::burn_rate(counts, sum.target_ppm);
    sum.budget_left = 1.0 - sum.burn_rate;
}

fn merge_series(sum: &mut v1::BurnSeries, more: &v1::BurnSeries) {
    add_newest(&mut sum.good, &more.good);
    add_newest(&mut sum.total, &more.total);
}

/// Adds two lists aligned at their last item, the newest span.
fn add_newest(sum: &mut [u64], more: &[u64]) {
    for (kept, add) in sum.iter_mut().rev().zip(more.iter().rev()) {
        *kept += add;
    }
}
