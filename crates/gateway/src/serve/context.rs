//! What the decisions on one request see of this node: its targets, its shares of
//! limits and its budget of extra calls.

use std::sync::Arc;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::choice::{self, Choice, ChoiceConstraints};
use heatherrun_routing::fleet::Services;
use heatherrun_routing::links::Phase;
use heatherrun_routing::pacer::Pace;
use heatherrun_routing::scatter::{Context, RequestShard, TargetChoice};
use heatherrun_routing::silence::silence;
use heatherrun_routing::target::Target;

use super::ActiveRequest;

impl ActiveRequest {
    /// Maximum number of concurrent calls from this node to one target.
    pub(super) fn max_calls(&self, target: &Target) -> u16 {
        let service = self.table.service(&target.entry.service);
        let connections = service.map_or(1, |s| s.connections);
        self.state
            .shares
            .load()
            .max_calls(&target.region, connections)
    }

    /// Runs a decision of the scatter with the current targets and limits.
    pub(super) fn with_context<R>(&self, decide: impl FnOnce(&Context<'_>) -> R) -> R {
        let state = &*self.state;
        let now = state.clock.now();
        let services = state.services.load();
        let out_domains = state.out_domains.load();
        let constraints = ChoiceConstraints {
            regions: &self.route.regions,
            is_excluded: &|domain| out_domains.contains(domain),
            next_call: &|target| {
                let pace = self.pace(now, target);
                let next_call = pace.map_or(now, |pace| target.pacer.next_call(now, pace));
                next_call.max(target.refusals.resume_at())
            },
            max_calls: &|target| u32::from(self.max_calls(target)).min(target.refusals.max_calls()),
            node_share: state.shares.load().total_share,
            draw: &|| state.draws.draw(),
        };
        let context = Context {
            choose: &|shard, tried| self.choose_target(now, &services, shard, tried, &constraints),
            take_extra: &|shard, need| {
                let service = &self.shards[shard];
                state.route_stats.take_extra(
                    now,
                    service,
                    &state.deployment.load().extra_call_limit,
                    state.shares.load().total_share,
                    need.usable_share(self.route.priority),
                )
            },
            silence: &|shard| {
                let targets = services.get(&self.shards[shard]).map_or(&[][..], |t| t);
                silence(now, targets, |t| choice::may_serve(t, &constraints))
            },
            hedge_delay: &|target| {
                self.outgoing
                    .route_latency
                    .hedge_delay(now, target, self.route.objective)
            },
            record_overdue: &|target| {
                state.record_silence(now, target);
                state.links.phase() != Phase::Suspect
            },
        };
        decide(&context)
    }

    /// Chooses a target for one shard, other than those already tried.
    fn choose_target(
        &self,
        now: Time,
        services: &Services,
        shard: RequestShard,
        tried: &[Name],
        constraints: &ChoiceConstraints<'_>,
    ) -> TargetChoice {
        let service = &self.shards[shard];
        let targets = services.get(service).map_or(&[][..], |t| t);
        let choose =
            |targets: &[Arc<Target>]| match choice::choose(now, targets, tried, constraints) {
                Choice::Target(target) => TargetChoice::Target(Arc::clone(target)),
                Choice::AtCapacity => TargetChoice::AtCapacity,
                Choice::Held(until, hold) => TargetChoice::Held(until, hold),
                Choice::NoTarget => TargetChoice::NoTarget,
            };
        let Some(followed) = self.state.rollouts.followed(service) else {
            return choose(targets);
        };
        let is_usable = |target: &Target| choice::may_serve(target, constraints);
        let is_fresh = self.state.rollouts.is_fresh(now);
        let [first, second] = followed.group(now, targets, is_usable, tried.is_empty(), is_fresh);
        match choose(&first) {
            TargetChoice::Target(target) => TargetChoice::Target(target),
            _ if !second.is_empty() => choose(&second),
            none => none,
        }
    }

    /// Pace of this node's calls to a target that takes a limited rate from all
    /// nodes together; `None` for any other target.
    pub(super) fn pace(&self, now: Time, target: &Target) -> Option<Pace> {
        let is_cold = target.is_cold(now);
        if !is_cold && target.limit_per_sec().is_none() {
            return None;
        }
        let service = self.table.service(&target.entry.service);
        let cold = service.and_then(|s| s.cold).filter(|_| is_cold);
        self.state
            .shares
            .load()
            .pace(target, cold.map(|c| c.per_sec))
    }
}
