//! Decides on the roll-outs while this node holds the lease for it. Only nodes
//! that read the store try to get it, and only while there is something to
//! decide.

use std::{sync::Arc, time::Duration};

use heatherrun_kernel::port::{Platform, StoreAnswer, StoreCall, StoreError, StoreReply};
use heatherrun_kernel::routes::{Name, RolloutStatus, StoreItem};
use heatherrun_kernel::{Era, Revision, Time};
use heatherrun_routing::rollout::state::RolloutState;
use heatherrun_routing::rollout::step::{self, Input, Step};
use heatherrun_routing::rollout::{Limits, verdict};

use super::{DeciderEntry, ServiceView, lock};
use crate::state::State;

/// Interval between decisions.
const INTERVAL: Duration = Duration::from_millis(100);

/// Length of a tick of the evidence, which a pause of a target may exceed little.
const TICK: Duration = Duration::from_millis(250);

/// Delay before the next decision while the store does not answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Lifetime of the lease of a decider that died.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Time after the renewal was sent in which this node may write. A call to the
/// store takes at most the rest of the lease.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// Interval between renewals; two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which the entry of the node that decides is read. The feed misses
/// the end of an entry that was written and expired between two reads.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of steps of one service in one tick: a state, its status, and
/// the first state of the next order.
const STEPS_PER_TICK: usize = 3;

/// The lease that makes this node the decider.
#[derive(Clone, Copy, Debug)]
struct Held {
    lease: u64,
    /// Era in which it was granted; in a later one it may be another node's.
    era: Era,
    renewed_at: Time,
    /// End of the time in which this node may write.
    until: Time,
}

/// Decides on roll-outs.
pub struct Decider {
    state: Arc<State>,
    platform: Platform,
    held: Option<Held>,
    /// When the entry of the node that decides was last read.
    checked_at: Time,
    /// Start of the present tick of the evidence.
    tick_began: Time,
}

impl Decider {
    /// Creates the task of a node that holds no lease.
    #[must_use]
    pub const fn new(state: Arc<State>, platform: Platform) -> Self {
        Self {
            state,
            platform,
            held: None,
            checked_at: Time(0),
            tick_began: Time(0),
        }
    }

    /// Decides while there is something to decide; never returns.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            if let Err(error) = self.decide().await {
                log::info!(reason:% = error; "rollout.lease-unknown");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn decide(&mut self) -> Result<(), StoreError> {
        let now = self.state.clock.now();
        let limits = self.state.deployment.load().rollout_limits;
        let views = lock(&self.state.rollouts.views).clone();
        let has_work = views.values().any(ServiceView::has_work);
        let is_reader = self.state.reads_store_since(now).is_some();
        let Some(limits) = limits.filter(|_| has_work && (is_reader || self.held.is_some())) else {
            return self.release().await;
        };
        if !self.hold(now).await? {
            return Ok(());
        }
        for service in views.keys() {
            // A service whose write fails must not keep the others waiting.
            if let Err(error) = self.advance(service, &limits).await {
                log::info!(service = &**service, reason:% = error; "rollout.not-written");
            }
        }
        if now.since(self.tick_began) >= TICK {
            self.tick_began = now;
            lock(&self.state.rollouts.inbox).end_tick();
        }
        Ok(())
    }

    /// Takes the steps of one service that are due.
    async fn advance(&self, service: &Name, limits: &Limits) -> Result<(), StoreError> {
        for _ in 0..STEPS_PER_TICK {
            match self.next_step(service, limits) {
                Step::None => break,
                Step::Write(state, reason) => self.write(service, state, reason).await?,
                Step::Publish(status) => self.publish(service, status).await?,
            }
        }
        Ok(())
    }

    fn next_step(&self, service: &Name, limits: &Limits) -> Step {
        let state = &self.state;
        let now = state.clock.now();
        let Some(view) = lock(&state.rollouts.views).get(service).cloned() else {
            return Step::None;
        };
        let mut input = Input {
            order: view.order(),
            state: view.state.as_ref(),
            status: view.status.as_ref(),
            order_age: now.since(view.order_seen),
            in_phase: now.since(view.phase_since),
            ..Input::default()
        };
        if let Some(rollout) = &view.state {
            let written = Duration::from_millis(rollout.elapsed_ms);
            input.elapsed = written + now.since(view.state_seen);
            input.is_unstored = view.stored_seq < rollout.seq;
            input.has_new = state.has_version(service, &rollout.version);
            let mut inbox = lock(&state.rollouts.inbox);
            let reports = inbox.service(service, rollout.began);
            let serving = state.serving.load();
            let nodes = serving.iter().map(|node| &node.name);
            input.old_calls = reports.old_calls(now, nodes, rollout.seq, view.phase_since);
            input.max_seq = reports.max_seq();
            input.answers = reports.evidence.new_answers();
            if !rollout.phase.is_final()
                && let Some((route, fault)) = verdict::find_fault(&reports.evidence)
            {
                let (service, route, fault_name) = (&**service, &*route, fault.name());
                log::warn!(service, route, fault = fault_name, answers = input.answers; "rollout.bad");
                input.fault = Some(fault);
            }
        }
        step::next(&input, limits)
    }

    /// Whether this node may write now. Renews the lease, or takes it if no node
    /// holds it.
    async fn hold(&mut self, now: Time) -> Result<bool, StoreError> {
        if let Some(held) = self.held {
            if now.since(held.renewed_at) >= RENEW_INTERVAL {
                let renewed = self.renew(now, held).await;
                if let Err(error) = renewed {
                    log::info!(reason:% = error; "rollout.not-renewed");
                }
            }
        } else if self.state.rollouts.decider().is_none() {
            self.take(now).await?;
        } else if now.since(self.checked_at) >= CHECK_INTERVAL {
            self.checked_at = now;
            self.read_decider().await?;
        }
        let is_held = self.may_write();
        if self.held.is_some() && !is_held {
            self.lose();
        }
        Ok(is_held)
    }

    fn may_write(&self) -> bool {
        let now = self.state.clock.now();
        self.held.is_some_and(|held| now < held.until)
    }

    fn lose(&mut self) {
        log::warn!("rollout.lease-lost");
        self.held = None;
        self.state.set_deciding(Time::default());
        lock(&self.state.rollouts.inbox).clear();
    }

    fn set_held(&mut self, lease: u64, era: Era, now: Time) {
        let until = now + WRITE_TIME;
        self.held = Some(Held {
            lease,
            era,
            renewed_at: now,
            until,
        });
        self.state.set_deciding(until);
    }

    async fn renew(&mut self, now: Time, held: Held) -> Result<(), StoreError> {
        let lease = held.lease;
        let answer = (self.platform.call)(StoreCall::Renew { lease }).await;
        match answer.result? {
            StoreReply::NoLease => self.lose(),
            _ if answer.era != held.era => self.lose(),
            _ => self.set_held(lease, held.era, now),
        }
        Ok(())
    }

    async fn take(&mut self, now: Time) -> Result<(), StoreError> {
        let grant = StoreCall::Grant { ttl: LEASE_TTL };
        let StoreAnswer { era, result } = (self.platform.call)(grant).await;
        let StoreReply::Lease(lease) = result? else {
            return Err(StoreError::NoAnswer);
        };
        let own = &self.state.own_entry;
        let entry = DeciderEntry {
            v: 1,
            node: Name::clone(&own.name),
            peers: own.peers,
        };
        let value = serde_json::to_vec(&entry).map_err(|_| StoreError::TooLarge)?;
        let key = self.state.site.decider_key.to_owned();
        let answer = self.swap(key, 0, Some(value.clone()), lease).await;
        match answer.result? {
            StoreReply::Swapped(_) if answer.era == era => {
                log::info!(lease, era = era.0; "rollout.lease-taken");
                self.set_held(lease, era, now);
                self.state.rollouts.set_decider(Some(&value));
            }
            StoreReply::Conflict(_) => self.read_decider().await?,
            _ => {}
        }
        Ok(())
    }

    /// Reads which node decides; this one knew of none.
    async fn read_decider(&self) -> Result<(), StoreError> {
        let get = StoreCall::Get {
            key: self.state.site.decider_key.to_owned(),
        };
        if let StoreReply::Value(found) = (self.platform.call)(get).await.result? {
            let value = found.and_then(|found| found.value);
            self.state.rollouts.set_decider(value.as_deref());
        }
        Ok(())
    }

    /// Gives up the lease, which removes this node's entry.
    async fn release(&mut self) -> Result<(), StoreError> {
        let Some(held) = self.held.take() else {
            return Ok(());
        };
        self.state.set_deciding(Time::default());
        lock(&self.state.rollouts.inbox).clear();
        if self.state.position().era == held.era {
            let lease = held.lease;
            (self.platform.call)(StoreCall::Revoke { lease })
                .await
                .result?;
            log::info!(lease; "rollout.lease-released");
            self.state.rollouts.set_decider(None);
        }
        Ok(())
    }

    async fn swap(
        &self,
        key: String,
        expect: u64,
        value: Option<Vec<u8>>,
        lease: u64,
    ) -> StoreAnswer {
        let call = StoreCall::Swap {
            key,
            expect: Revision(expect),
            value,
            lease,
        };
        (self.platform.call)(call).await
    }

    /// Writes a state; if another one was written since, that one is read.
    async fn write(
        &self,
        service: &Name,
        state: RolloutState,
        reason: &'static str,
    ) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&state).map_err(|_| StoreError::TooLarge)?;
        let key = format!("{}{service}", self.state.site.rollout_prefix);
        let views = |view: &ServiceView| view.state_revision;
        let Some(revision) = self.put(&key, service, views, value.clone()).await? else {
            return Ok(());
        };
        let (version, phase, share) = (&*state.version, state.phase.name(), state.share);
        log::info!(service = &**service, version, phase, share, seq = state.seq, reason; "rollout.state");
        let now = self.state.clock.now();
        let rollouts = &self.state.rollouts;
        rollouts.apply_state(now, service, Some(&value), revision);
        Ok(())
    }

    /// Writes a status; if another one was written since, that one is read.
    async fn publish(&self, service: &Name, status: RolloutStatus) -> Result<(), StoreError> {
        let (key, value) = (self.state.site.encode_rollout)(service, &status);
        let views = |view: &ServiceView| view.status_revision;
        let Some(revision) = self.put(&key, service, views, value).await? else {
            return Ok(());
        };
        let (version, outcome) = (&*status.version, status.outcome);
        log::info!(service = &**service, version, outcome:? = outcome, revision; "rollout.status");
        let rollouts = &self.state.rollouts;
        rollouts.set_status(service, Some(status), revision);
        Ok(())
    }

    /// Writes a key if it is at the revision known from the view, and returns
    /// its new revision; `None` if it was at another one, which is then read.
    async fn put(
        &self,
        key: &str,
        service: &Name,
        revision: impl Fn(&ServiceView) -> u64,
        value: Vec<u8>,
    ) -> Result<Option<u64>, StoreError> {
        let expect = lock(&self.state.rollouts.views)
            .get(service)
            .map_or(0, revision);
        if !self.may_write() {
            return Ok(None);
        }
        let answer = self.swap(key.to_owned(), expect, Some(value), 0).await;
        match answer.result? {
            StoreReply::Swapped(revision) => Ok(Some(revision.0)),
            StoreReply::Conflict(found) => {
                log::info!(key, expect, found = found.0; "rollout.conflict");
                self.read(key, service).await?;
                Ok(None)
            }
            _ => Err(StoreError::NoAnswer),
        }
    }

    /// Reads a state or a status from the store.
    async fn read(&self, key: &str, service: &Name) -> Result<(), StoreError> {
        let get = StoreCall::Get {
            key: key.to_owned(),
        };
        let StoreReply::Value(found) = (self.platform.call)(get).await.result? else {
            return Err(StoreError::NoAnswer);
        };
        let revision = found.as_ref().map_or(0, |found| found.revision.0);
        let value = found.and_then(|found| found.value);
        let rollouts = &self.state.rollouts;
        if key.starts_with(self.state.site.rollout_prefix) {
            let now = self.state.clock.now();
            rollouts.forget_revision(service);
            rollouts.apply_state(now, service, value.as_deref(), revision);
            return Ok(());
        }
        match (self.state.site.parse_item)(key, value.as_deref()) {
            Ok(StoreItem::RolloutStatus { status, .. }) => {
                rollouts.set_status(service, status, revision);
            }
            // Replaced by the next write, which expects this revision.
            _ => rollouts.set_status(service, None, revision),
        }
        Ok(())
    }
}
