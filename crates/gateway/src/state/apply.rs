//! Applies changes of the store to the state of a node, and publishes what
//! follows for requests.

use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::{Config, Name, StoreItem, TargetEntry};
use heatherrun_routing::cell;
use heatherrun_routing::feed::{Delta, Item, ItemRules};
use heatherrun_routing::fleet::{Change, LAPSE_GRACE};
use heatherrun_routing::members::Roster;
use heatherrun_routing::shares::Shares;
use heatherrun_routing::table::RouteTable;
use heatherrun_routing::target::{Distance, Location};

use super::{State, StoreView};

/// Time for which a node that serves no longer still counts towards shared
/// limits. The shares of the others must not grow while it may still send calls.
const DEPARTED_NODE_TTL: Duration = Duration::from_secs(20);

/// Time after the start in which this node may not know all others yet.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a node or a domain taken out of service counts as before when
/// the store came back from a copy without it: what was written since the copy
/// is written again meanwhile.
const RESTORE_GRACE: Duration = Duration::from_secs(5);

impl State {
    /// Applies changes of the store that were complete at `fresh_at`.
    pub fn apply(&self, delta: Delta, fresh_at: Time) {
        let now = self.clock.now();
        let mut store_view = self.lock();
        let rules = ItemRules {
            is_minor_change: &|old, new| self.is_minor_change(old, new),
            stays_deleted: &|item| self.is_target(item),
        };
        let (old_position, position) = (store_view.feed.position(), delta.position);
        let applied = store_view.feed.apply(delta, &rules);
        // Ignored changes say nothing about the age of what this node has.
        if position >= old_position && store_view.feed.position() == position {
            store_view.fresh_at = store_view.fresh_at.max(fresh_at);
            self.rollouts.record_fresh(fresh_at);
        }
        let mut targets_changed = store_view.fleet.remove_lapsed(now);
        if applied.began_era {
            let missing = applied.changed.iter().filter(|i| i.value.is_none());
            log::warn!(
                era = position.era.0, revision = position.revision.0,
                known_era = old_position.era.0, known_revision = old_position.revision.0,
                changed = applied.changed.len(), missing = missing.count();
                "store.restored"
            );
            // Entries written since the copy are missing until they are written
            // again, as after an outage.
            store_view.fleet.outage_ended(now);
            self.rollouts.record_new_era();
        }
        for item in &applied.changed {
            if self.is_doubtful(&store_view, now, item, applied.began_era) {
                let until = now + RESTORE_GRACE;
                store_view.unconfirmed.insert(Arc::clone(&item.key), until);
                continue;
            }
            store_view.unconfirmed.remove(&item.key);
            targets_changed |= self.apply_item(&mut store_view, now, item);
        }
        for item in take_unconfirmed(&mut store_view, now) {
            targets_changed |= self.apply_item(&mut store_view, now, &item);
        }
        if targets_changed {
            self.services.store(Arc::new(store_view.fleet.services()));
        }
        // Published after the changes are in force, since requests rely on it.
        self.fresh_at
            .store(store_view.fresh_at.0, Ordering::Release);
        self.publish_nodes(&mut store_view, now);
        for target in store_view.fleet.take_ended() {
            self.crash_tracker.record_target_end(now, &target);
        }
    }

    /// Whether the deletion of the item may mean only that the store came back
    /// from a copy, or that a lease expired while the store was away. Targets
    /// are not among them: the fleet has its own grace.
    fn is_doubtful(&self, view: &StoreView, now: Time, item: &Item, began_era: bool) -> bool {
        if item.value.is_some() || self.is_target(item) {
            return false;
        }
        let is_roster = item.key.starts_with(self.site.node_prefix);
        let ended = view.outage_end;
        began_era || (is_roster && ended.is_some_and(|at| now.since(at) < LAPSE_GRACE))
    }

    /// Whether the item is the entry of a target.
    fn is_target(&self, item: &Item) -> bool {
        let parsed = (self.site.parse_item)(&item.key, None);
        matches!(parsed, Ok(StoreItem::TargetRemoved(_)))
    }

    /// Whether an item only repeats what a target reported before: other nodes
    /// count the remaining slow start down themselves.
    fn is_minor_change(&self, old: &Item, new: &Item) -> bool {
        let target_of = |item: &Item| match (self.site.parse_item)(&item.key, item.value.as_deref())
        {
            Ok(StoreItem::Target(entry)) => Some(entry),
            _ => None,
        };
        let (Some(old), Some(new)) = (target_of(old), target_of(new)) else {
            return false;
        };
        let still_cold = new.warmup <= old.warmup && new.warmup.is_zero() == old.warmup.is_zero();
        let same_rest = TargetEntry {
            warmup: new.warmup,
            report_seq: new.report_seq,
            ..old
        } == new;
        still_cold && same_rest
    }

    /// Applies one item of the store; true when the set of targets changed.
    fn apply_item(&self, store_view: &mut StoreView, now: Time, item: &Item) -> bool {
        if item.key.starts_with(self.site.node_prefix) {
            apply_roster(store_view, item);
            return false;
        }
        let value = item.value.as_deref();
        if item.key.as_ref() == self.site.decider_key {
            self.rollouts.set_decider(value);
            return false;
        }
        if let Some(service) = item.key.strip_prefix(self.site.rollout_prefix) {
            self.rollouts
                .apply_state(now, service, value, item.revision);
            return false;
        }
        let store_item = match (self.site.parse_item)(&item.key, item.value.as_deref()) {
            Ok(store_item) => store_item,
            Err(error) => {
                let key = error.key.as_str();
                log::warn!(key, revision = item.revision, why = error.reason.as_str(); "item.unreadable");
                return false;
            }
        };
        let revision = item.revision;
        match store_item {
            StoreItem::Target(entry) => self.apply_target(store_view, now, entry, revision),
            StoreItem::TargetRemoved(id) => {
                let gone = store_view.fleet.remove(now, &id);
                log::info!(target = &*id, revision, gone; "target.lapsed");
                gone
            }
            StoreItem::DomainOut(domain) => {
                log::info!(domain = &*domain, revision; "domain.out");
                self.update_out_domains(|out_domains| out_domains.insert(domain));
                false
            }
            StoreItem::DomainBack(domain) => {
                log::info!(domain = &*domain, revision; "domain.back");
                self.update_out_domains(|out_domains| out_domains.remove(&domain));
                false
            }
            StoreItem::Config(config) => {
                self.apply_config(now, *config, revision);
                false
            }
            StoreItem::Rollout { service, order } => {
                let version = order.as_ref().map(|o| &*o.version);
                log::info!(service = &*service, version, revision; "rollout.order");
                self.rollouts.set_order(now, &service, order, revision);
                false
            }
            StoreItem::RolloutStatus { service, status } => {
                let revision = if value.is_some() { revision } else { 0 };
                self.rollouts.set_status(&service, status, revision);
                false
            }
            StoreItem::Other => false,
        }
    }

    /// Applies a target's report; true when the target or its incarnation is
    /// new.
    fn apply_target(
        &self,
        store_view: &mut StoreView,
        now: Time,
        entry: TargetEntry,
        revision: u64,
    ) -> bool {
        let location = self.location_of(&entry.domain);
        let (id, domain) = (Arc::clone(&entry.id), Arc::clone(&entry.domain));
        let change = store_view.fleet.apply_report(now, entry, location);
        match change {
            Change::New => log::info!(target = &*id, domain = &*domain, revision; "target.new"),
            Change::Draining => log::info!(target = &*id, revision; "target.draining"),
            Change::Stale => log::debug!(target = &*id, revision; "target.stale"),
            Change::None => {}
        }
        change == Change::New
    }

    /// Applies a configuration unless the one in force has the same or a newer
    /// version.
    fn apply_config(&self, now: Time, config: Config, revision: u64) {
        let table = self.route_table.load();
        let current_version = table.as_ref().map(|t| t.config().version);
        if current_version.is_some_and(|version| version >= config.version) {
            return;
        }
        let (version, teams) = (config.version, config.teams().len());
        self.capacity.set_max_body(config.callers.body_bytes);
        let routes: HashSet<_> = config.routes.iter().map(|r| &r.name).collect();
        let services: HashSet<_> = config.services.iter().map(|s| &s.name).collect();
        self.route_stats
            .retain(|n| routes.contains(n), |n| services.contains(n));
        let new_table = RouteTable::new(Arc::new(config), now.0);
        let keyed = new_table.requires_keys();
        log::info!(version, revision, keyed, teams; "config.in-force");
        if keyed && !new_table.has_keys() {
            log::warn!(version; "config.no-keys");
        }
        let shared = new_table.shared_keys();
        let shared: Vec<_> = shared.map(|(a, b)| format!("{a},{b}")).collect();
        if !shared.is_empty() {
            let teams = shared.join(";");
            let teams = teams.as_str();
            log::warn!(teams, version = new_table.config().version; "config.shared-key");
        }
        self.route_table.store(Some(Arc::new(new_table)));
    }

    /// Updates the set of failure domains that are out of service.
    fn update_out_domains(&self, update: impl FnOnce(&mut HashSet<Name>) -> bool) {
        let mut out_domains = HashSet::clone(&self.out_domains.load());
        update(&mut out_domains);
        self.out_domains.store(Arc::new(out_domains));
    }

    /// Forgets nodes that report no more, and publishes what follows.
    pub fn refresh_nodes(&self) {
        let now = self.clock.now();
        self.publish_nodes(&mut self.lock(), now);
    }

    /// Publishes the known nodes and those that serve, and recomputes this
    /// node's shares.
    fn publish_nodes(&self, store_view: &mut StoreView, now: Time) {
        store_view.members.expire(now);
        let own = self.own_node();
        let nodes = store_view.members.nodes(now, Some(&own));
        if nodes != **self.nodes.load() {
            self.nodes.store(Arc::new(nodes));
        }
        let nodes = self.nodes.load();
        let table = self.route_table.load();
        let services = table.iter().flat_map(|t| &t.config().services);
        let connections = services.map(|s| s.connections).min();
        let names = cell::serving(&nodes, connections.unwrap_or(u16::MAX));
        let serving: Vec<_> = nodes.iter().filter(|n| names.contains(&n.name)).collect();
        let recent = &mut store_view.recent_serving;
        for node in &serving {
            recent.insert(Name::clone(&node.name), ((*node).clone(), now));
        }
        // A node that serves no longer counts for some time, but this one knows
        // at once when it is in reserve.
        recent.retain(|name, (_, at)| {
            let is_own = *name == own.name;
            names.contains(name) || (!is_own && now.since(*at) < DEPARTED_NODE_TTL)
        });
        let counted: Vec<_> = recent.values().map(|(node, _)| node.clone()).collect();
        self.rollouts.set_serving(counted.len());
        let regions = &self.deployment.load().regions;
        let knows_all = now.since(Time::default()) >= SETTLE_TIME;
        let shares = Shares::new(&own, &counted, regions, knows_all);
        if shares != **self.shares.load() {
            log::info!(
                nodes = nodes.len(), serving = serving.len(), counted = counted.len(),
                share_permille = permille(shares.total_share); "node.shares"
            );
            self.shares.store(Arc::new(shares));
        }
        if !serving.iter().copied().eq(self.serving.load().iter()) {
            let serving = serving.into_iter().cloned().collect();
            self.serving.store(Arc::new(serving));
        }
    }

    /// Region of a failure domain and its distance from this node.
    fn location_of(&self, domain: &str) -> Location {
        let own_entry = &self.own_entry;
        let region = self
            .deployment
            .load()
            .regions
            .get(domain)
            .cloned()
            .unwrap_or_default();
        let distance = if *domain == *own_entry.domain {
            Distance::Domain
        } else if region == own_entry.region {
            Distance::Region
        } else {
            Distance::Far
        };
        Location { region, distance }
    }
}

/// Takes the items whose [`RESTORE_GRACE`] ended, as deletions.
fn take_unconfirmed(store_view: &mut StoreView, now: Time) -> Vec<Item> {
    let revision = store_view.feed.position().revision.0;
    let ended = store_view.unconfirmed.extract_if(|_, until| now >= *until);
    let deletion = |(key, _)| Item {
        key,
        revision,
        value: None,
    };
    ended.map(deletion).collect()
}

/// Applies a roster of nodes, or its removal.
fn apply_roster(store_view: &mut StoreView, item: &Item) {
    let (key, revision) = (&*item.key, item.revision);
    let Some(value) = &item.value else {
        log::info!(key, revision; "roster.gone");
        store_view.members.set_roster(key, None);
        return;
    };
    match serde_json::from_slice::<Roster>(value) {
        Ok(roster) => {
            log::debug!(key, revision, nodes = roster.entries().count(); "roster.read");
            store_view.members.set_roster(key, Some(&roster));
        }
        Err(e) => log::warn!(key, revision, why:% = e; "item.unreadable"),
    }
}

/// A share in thousandths, for log lines.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1"
)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
