//! Messages between nodes and granters.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_kernel::time::micros;
use heatherrun_routing::quota::{Demand, Grant, REPLY_TIMEOUT, REPORT_INTERVAL};
use heatherrun_schema::v1::{PeerRequest, QuotaReply, QuotaRequest, TeamDemand, TeamGrant};

use super::{GROUPS, Quota, TeamQuota};
use crate::state::State;

/// Minimum interval between messages to a granter that requests wait for. It
/// bounds the messages of a node with many waiting requests.
const MIN_INTERVAL: Duration = Duration::from_millis(4);

/// A message under way: its teams, and the groups that it is for.
struct Sending {
    teams: Vec<Arc<TeamQuota>>,
    groups: Vec<usize>,
    request: QuotaRequest,
}

/// Tells the granter of a group of this node's demand; never returns.
pub(super) async fn run(state: Arc<State>, group: usize) {
    let quota = &state.quota;
    let mut next = state.clock.now();
    let mut earliest = next;
    loop {
        tokio::select! {
            () = quota.groups[group].ask.notified() => {}
            () = state.clock.sleep_until(next) => {}
        }
        state.clock.sleep_until(earliest).await;
        let now = state.clock.now();
        (next, earliest) = (now + REPORT_INTERVAL, now + MIN_INTERVAL);
        quota.update(&state, now);
        if quota.teams.load().is_empty() || quota.first(group) != group {
            continue;
        }
        if quota.report(&state, now, group).await {
            next = state.clock.now();
        }
    }
}

impl Quota {
    fn first(&self, group: usize) -> usize {
        self.groups[group].first.load(Ordering::Relaxed)
    }

    /// Sends a message for the groups with the same granter as `group`, and
    /// applies the reply. True if the granter learns with the next message that
    /// this node is in touch, which should follow at once.
    async fn report(&self, state: &Arc<State>, now: Time, group: usize) -> bool {
        let Some(sending) = self.build(state, now, group) else {
            return false;
        };
        let (granter, address) = {
            let contact = self.groups[group].contact();
            (contact.0.granter().cloned(), contact.1)
        };
        let own = &state.own_entry.name;
        let reply = match address {
            _ if granter.as_ref() == Some(own) => Some(self.handle(state, own, &sending.request)),
            Some(address) => {
                let request = PeerRequest {
                    node: own.to_string(),
                    quota: Some(sending.request.clone()),
                    rollout: None,
                };
                let sent = self.exchange.send(state, address, &request, REPLY_TIMEOUT);
                sent.await.and_then(|reply| reply.quota)
            }
            None => None,
        };
        self.apply(state, now, granter.as_ref(), &sending, reply)
    }

    /// Builds the message; `None` if there is nothing to tell.
    fn build(&self, state: &State, now: Time, first: usize) -> Option<Sending> {
        let groups: Vec<_> = (0..GROUPS).filter(|g| self.first(*g) == first).collect();
        let teams = self.teams.load();
        let mut sending = Sending {
            teams: Vec::new(),
            groups,
            request: QuotaRequest {
                version: state
                    .route_table
                    .load()
                    .as_ref()
                    .map_or(0, |t| t.config().version),
                teams: Vec::new(),
                silent_us: vec![0; GROUPS],
            },
        };
        for team in teams.values() {
            let waiting = f64::from(team.waiting.load(Ordering::Relaxed));
            let mut stock = team.lock();
            if !sending.groups.contains(&team.group) || (waiting < 1.0 && stock.0.is_idle(now)) {
                continue;
            }
            let demand = stock.0.report(now, waiting);
            sending.teams.push(Arc::clone(team));
            sending.request.teams.push(TeamDemand {
                team: team.name.to_string(),
                used: demand.used,
                returned: demand.returned,
                wanted: demand.wanted,
                waiting: demand.waiting,
                held: demand.held,
            });
        }
        for group in &sending.groups {
            let silent_for = self.groups[*group].contact().0.silent_for(now);
            sending.request.silent_us[*group] = silent_for.map_or(0, |s| micros(s).max(1));
        }
        // A node in reserve does not count, so it need not report itself.
        let is_counted = state.shares.load().is_serving();
        (is_counted || !sending.teams.is_empty()).then_some(sending)
    }

    fn apply(
        &self,
        state: &State,
        sent: Time,
        granter: Option<&Name>,
        sending: &Sending,
        reply: Option<QuotaReply>,
    ) -> bool {
        let now = state.clock.now();
        // A late reply, such as after a suspension, is as good as none.
        let reply = reply.filter(|r| r.grants && now.since(sent) <= REPLY_TIMEOUT);
        let mut is_new = false;
        let answered = |group: usize| {
            let number = u32::try_from(group).unwrap_or(u32::MAX);
            reply.as_ref().is_some_and(|r| r.groups.contains(&number))
        };
        for team in &sending.teams {
            let grants = reply.as_ref().map_or(&[][..], |r| &r.teams);
            let row = grants.iter().find(|g| g.team == *team.name);
            let mut stock = team.lock();
            match row.filter(|_| answered(team.group)) {
                Some(row) => {
                    let grant = Grant {
                        granted: row.granted,
                        retry_after: Duration::from_micros(row.retry_us),
                    };
                    stock.0.apply(now, sent, &grant);
                }
                None => stock.0.report_lost(),
            }
        }
        for group in &sending.groups {
            let mut contact = self.groups[*group].contact();
            if answered(*group) && contact.0.granter() == granter {
                let was_in_touch = contact.0.silent_for(sent).is_some();
                contact.0.record_answer(sent);
                is_new |= !was_in_touch && contact.0.silent_for(now).is_some();
            }
            drop(contact);
            self.groups[*group].answers.send_replace(());
        }
        is_new
    }

    /// Answers the demand of a node as a granter.
    #[must_use]
    pub fn handle(&self, state: &State, node: &str, request: &QuotaRequest) -> QuotaReply {
        let now = state.clock.now();
        self.update(state, now);
        let node = Name::from(node);
        let mut reply = QuotaReply::default();
        for (ix, group) in self.groups.iter().enumerate() {
            if group.contact().0.granter() != Some(&state.own_entry.name) {
                continue;
            }
            let silent_us = request.silent_us.get(ix).copied().unwrap_or_default();
            let silent_for = (silent_us > 0).then(|| Duration::from_micros(silent_us));
            group.granter().record_contact(now, &node, silent_for);
            reply.groups.push(u32::try_from(ix).unwrap_or_default());
        }
        reply.grants = !reply.groups.is_empty();
        let teams = self.teams.load();
        for row in &request.teams {
            let Some(team) = teams.get(row.team.as_str()) else {
                continue;
            };
            let demand = Demand {
                used: row.used,
                returned: row.returned,
                wanted: row.wanted,
                waiting: row.waiting,
                held: row.held,
            };
            let mut granter = self.groups[team.group].granter();
            let grant = granter.grant(now, &node, &row.team, &demand);
            reply.teams.extend(grant.map(|grant| TeamGrant {
                team: row.team.clone(),
                granted: grant.granted,
                retry_us: micros(grant.retry_after),
            }));
        }
        reply
    }
}
