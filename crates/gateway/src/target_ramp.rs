//! Records answers in the slow start of their targets, and reports its begin and
//! end.

use heatherrun_kernel::Time;
use heatherrun_kernel::time::micros;
use heatherrun_routing::ramp::{Answer, RampChange, others_micros};
use heatherrun_routing::scatter::CallEnd;
use heatherrun_routing::target::Target;

use crate::log_throttle::LineKind;
use crate::state::State;

/// Records the answer to a call sent at `sent_at` that ended with `end`. `usual`
/// is the limit on concurrent calls outside a slow start. Without
/// effect on targets that do not report their load.
pub fn record_answer(state: &State, target: &Target, sent_at: Time, end: CallEnd, usual: u32) {
    if !target.pace.reports_load() {
        target.ramp.release();
        return;
    }
    let now = state.clock.now();
    let services = state.services.load();
    let targets = services.get(&target.entry.service);
    let answer = Answer {
        sent_at,
        is_rejected: end != CallEnd::Part,
        is_crowded: target.pace.is_crowded(),
        others: targets.and_then(|targets| others_micros(now, target, targets)),
        usual,
    };
    if let Some(change) = target.ramp.record_answer(now, &answer) {
        report(state, now, target, change);
    }
}

fn report(state: &State, now: Time, target: &Target, change: RampChange) {
    let steps = [("start", change.began), ("end", change.ended)];
    for (step, _) in steps.iter().filter(|(_, happened)| *happened) {
        state.metrics.record_ramp(&target.entry.service, step);
        if !state.log_throttle.allows(now, LineKind::TargetRamp) {
            continue;
        }
        let (id, service) = (&*target.entry.id, &*target.entry.service);
        let (why, calls, lasted_us) = (change.why.name(), change.calls, micros(change.lasted));
        log::info!(target = id, service, step, why, calls, lasted_us; "target.ramp");
    }
}
