//! Bounds calls beyond the first of each request, for one service, over any
//! window of the users' length.

use std::{collections::VecDeque, time::Duration};

use heatherrun_kernel::Time;

/// Parts of the window; the sums are exact to one of them.
const PARTS: u32 = 20;

/// Share of the bound that is used. The rest covers calls that
/// arrive in another window than they were sent in.
const USED: f64 = 0.85;

/// Bound on extra calls, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraBound {
    /// Extra calls for each request.
    pub share: f64,
    /// Extra calls beyond that, for all nodes together.
    pub slack: u32,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    start: Time,
    requests: u32,
    extra: u32,
}

/// Counts of one service on one node.
#[derive(Debug, Default)]
pub struct ExtraWindow {
    parts: VecDeque<Part>,
}

impl ExtraWindow {
    /// Notes a request.
    pub fn request(&mut self, now: Time, bound: &ExtraBound) {
        self.part(now, bound).requests += 1;
    }

    /// Takes one extra call, if there is one; `part` of the slack is this
    /// node's.
    pub fn take(&mut self, now: Time, bound: &ExtraBound, part: f64) -> bool {
        self.part(now, bound);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let extra: u32 = self.parts.iter().map(|p| p.extra).sum();
        let slack = f64::from(bound.slack) * part;
        let most = (f64::from(requests) * bound.share + slack) * USED;
        if f64::from(extra + 1) > most {
            return false;
        }
        self.part(now, bound).extra += 1;
        true
    }

    fn part(&mut self, now: Time, bound: &ExtraBound) -> &mut Part {
        let length = bound.window / PARTS;
        while let Some(first) = self.parts.front() {
            // One part more than the window, so that no window is undercounted.
            if now.since(first.start) <= bound.window + length {
                break;
            }
            self.parts.pop_front();
        }
        let fresh = self
            .parts
            .back()
            .is_none_or(|p| now.since(p.start) >= length);
        if fresh {
            self.parts.push_back(Part {
                start: now,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
