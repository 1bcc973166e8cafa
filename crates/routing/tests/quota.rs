//! Simulation of the quotas of teams: several nodes and their granters on a
//! fake clock, with seeded faults.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::quota::contact::Contact;
use heatherrun_routing::quota::granter::Granter;
use heatherrun_routing::quota::stock::{Decision, Source, Stock, Terms};
use heatherrun_routing::quota::{
    self, Demand, Grant, Limit, MAX_GROUPS, REPLY_TIMEOUT, REPORT_INTERVAL, Standing,
};

const STEP: Duration = Duration::from_millis(2);
const WINDOW: Duration = Duration::from_secs(5);
const MAX_WAIT: Duration = Duration::from_millis(30);

/// Deterministic random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        usize::try_from(self.next() % u64::try_from(n).unwrap()).unwrap()
    }

    #[expect(clippy::cast_precision_loss, reason = "a fraction")]
    fn chance(&mut self, p: f64) -> bool {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= p
    }
}

type Rows<T> = Vec<(usize, T)>;

enum Message {
    Request(Option<Duration>, Rows<Demand>),
    Reply(Rows<Grant>),
}

struct Envelope {
    due: Time,
    sent: Time,
    from: usize,
    to: usize,
    group: usize,
    message: Message,
}

struct Node {
    name: Name,
    granter: Granter,
    stocks: Vec<Stock>,
    contacts: Vec<Contact>,
    /// When the message under way to each granter was sent, and the last one.
    sending: Vec<Option<Time>>,
    last_sent: Vec<Time>,
    /// Team, deadline and earliest next try of each waiting request.
    waiting: Vec<(usize, Time, Time)>,
    /// Until when the node is suspended or dead.
    away: Time,
    /// Nodes of different sides reach each other not at all.
    side: u8,
    /// Whether it may admit requests without credit, by team.
    may_advance: Vec<bool>,
}

#[derive(Default)]
struct Count {
    admitted: VecDeque<Time>,
    admissions: usize,
    refused: usize,
    most_over: f64,
    /// Level of a bucket that tells which requests are below the limit.
    level: f64,
}

struct Sim {
    now: Time,
    random: Random,
    nodes: Vec<Node>,
    /// The first nodes serve; the others are in reserve.
    serving: usize,
    /// Nodes in reserve instead, from when and until when. Others learn of it up
    /// to 2 s later.
    excluded: Vec<(usize, Time, Time)>,
    teams: Vec<(Name, Limit)>,
    net: Vec<Envelope>,
    loss: f64,
    max_delay: u64,
    /// Number of regions; a message to another one takes 22 ms longer.
    regions: usize,
    counts: Vec<Count>,
}

impl Sim {
    fn new(seed: u64, nodes: usize, serving: usize, teams: &[(f64, f64)]) -> Self {
        let teams: Vec<(Name, Limit)> = teams
            .iter()
            .enumerate()
            .map(|(ix, &(per_sec, burst))| {
                (Name::from(format!("team-{ix}")), Limit { per_sec, burst })
            })
            .collect();
        let mut sim = Self {
            now: Time::from_millis(1_000),
            random: Random(seed),
            nodes: Vec::new(),
            serving,
            excluded: Vec::new(),
            counts: teams.iter().map(|_| Count::default()).collect(),
            teams,
            net: Vec::new(),
            loss: 0.0,
            max_delay: 3,
            regions: 1,
        };
        for ix in 0..nodes {
            let node = sim.fresh_node(ix, 0);
            sim.nodes.push(node);
        }
        sim
    }

    fn fresh_node(&self, ix: usize, side: u8) -> Node {
        let groups = usize::try_from(MAX_GROUPS).unwrap();
        Node {
            name: Name::from(format!("node-{ix}")),
            granter: Granter::default(),
            stocks: self.teams.iter().map(|_| Stock::default()).collect(),
            contacts: (0..groups).map(|_| Contact::default()).collect(),
            sending: vec![None; groups],
            last_sent: vec![Time::default(); groups],
            waiting: Vec::new(),
            away: Time::default(),
            side,
            may_advance: vec![false; self.teams.len()],
        }
    }

    fn is_near(&self, a: usize, b: usize) -> bool {
        a % self.regions == b % self.regions
    }

    /// The serving nodes as node `ix` sees them.
    fn serving_names(&self, ix: usize) -> Vec<Name> {
        let lag = u64::try_from(ix * 370 % 2_000).unwrap();
        let seen = self.now - Duration::from_millis(lag);
        let is_excluded = |node: usize| {
            let excluded = &mut self.excluded.iter();
            excluded.any(|(n, from, until)| *n == node && *from <= seen && seen < *until)
        };
        let serving = (0..self.serving).filter(|node| !is_excluded(*node));
        serving
            .map(|ix| Name::clone(&self.nodes[ix].name))
            .collect()
    }

    fn terms(&self, ix: usize, team: usize) -> Terms {
        let (name, limit) = &self.teams[team];
        #[expect(clippy::cast_precision_loss, reason = "a small count")]
        let share = if ix < self.serving {
            1.0 / self.serving as f64
        } else {
            0.0
        };
        Terms {
            limit: *limit,
            contact: self.nodes[ix].contacts[group_of(name)].answered(),
            share,
            may_advance: self.nodes[ix].may_advance[team],
        }
    }

    fn request(&mut self, ix: usize, team: usize) {
        if self.nodes[ix].away > self.now {
            return;
        }
        self.nodes[ix].stocks[team].record_request(self.now);
        let deadline = self.now + MAX_WAIT;
        self.nodes[ix].waiting.push((team, deadline, self.now));
        self.settle(ix);
    }

    /// Decides on the waiting requests of a node.
    fn settle(&mut self, ix: usize) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.nodes[ix].waiting);
        let mut reported = Vec::new();
        waiting.retain_mut(|(team, deadline, next)| {
            if now < *next {
                return true;
            }
            let terms = self.terms(ix, *team);
            let is_in_time = |at: Time| at < *deadline;
            match self.nodes[ix].stocks[*team].take(now, &terms) {
                Decision::Admitted(source) => {
                    reported.extend((source == Source::Advance).then_some(*team));
                    let limit = terms.limit;
                    self.counts[*team].admit(now, limit);
                    false
                }
                Decision::OverLimit(after) if is_in_time(now + after) => {
                    *next = now + after;
                    true
                }
                Decision::Ask if is_in_time(now) => true,
                Decision::OverLimit(_) | Decision::Ask => {
                    self.counts[*team].refused += 1;
                    false
                }
            }
        });
        self.nodes[ix].waiting = waiting;
        for group in 0..self.nodes[ix].contacts.len() {
            let names = &self.teams;
            let asks = |w: &(usize, Time, Time)| w.2 <= now && group_of(&names[w.0].0) == group;
            let has_advance = reported.iter().any(|t| group_of(&names[*t].0) == group);
            if has_advance || self.nodes[ix].waiting.iter().any(asks) {
                self.send(ix, group);
            }
        }
    }

    fn send(&mut self, ix: usize, group: usize) {
        let now = self.now;
        let node = &mut self.nodes[ix];
        if node.sending[group].is_some() {
            return;
        }
        let Some(granter) = node.contacts[group].granter().cloned() else {
            return;
        };
        let mut rows = Vec::new();
        for (team, (name, _)) in self.teams.iter().enumerate() {
            if group_of(name) != group {
                continue;
            }
            let waiting = node.waiting.iter().filter(|w| w.0 == team).count();
            let waiting = f64::from(u32::try_from(waiting).unwrap());
            rows.push((team, node.stocks[team].report(now, waiting)));
        }
        let silent_for = node.contacts[group].silent_for(now);
        node.sending[group] = Some(now);
        node.last_sent[group] = now;
        let to = self.nodes.iter().position(|n| n.name == granter).unwrap();
        self.post(ix, to, group, now, Message::Request(silent_for, rows));
    }

    fn post(&mut self, from: usize, to: usize, group: usize, sent: Time, message: Message) {
        if from != to && self.random.chance(self.loss) {
            return;
        }
        let spread = usize::try_from(self.max_delay).unwrap();
        let delay = u64::try_from(self.random.below(spread)).unwrap();
        let delay = match (from == to, self.is_near(from, to)) {
            (true, _) => 0,
            (false, true) => 1 + delay,
            (false, false) => 22 + delay,
        };
        self.net.push(Envelope {
            due: self.now + Duration::from_millis(delay),
            sent,
            from,
            to,
            group,
            message,
        });
    }

    fn deliver(&mut self, envelope: Envelope) {
        let (now, to, group) = (self.now, envelope.to, envelope.group);
        if self.nodes[envelope.from].side != self.nodes[to].side {
            return;
        }
        match envelope.message {
            Message::Request(silent_for, rows) => {
                let from = Name::clone(&self.nodes[envelope.from].name);
                let granter = &mut self.nodes[to].granter;
                granter.record_contact(now, &from, silent_for);
                let grant = |(team, demand): (usize, Demand)| {
                    let name = &self.teams[team].0;
                    Some((team, granter.grant(now, &from, name, &demand)?))
                };
                let grants: Vec<_> = rows.into_iter().filter_map(grant).collect();
                if !grants.is_empty() {
                    self.post(
                        to,
                        envelope.from,
                        group,
                        envelope.sent,
                        Message::Reply(grants),
                    );
                }
            }
            Message::Reply(grants) => {
                let node = &mut self.nodes[to];
                if node.sending[group] != Some(envelope.sent) {
                    return;
                }
                node.sending[group] = None;
                let was_in_touch = node.contacts[group].silent_for(now).is_some();
                node.contacts[group].record_answer(envelope.sent);
                for (team, grant) in grants {
                    node.stocks[team].apply(now, envelope.sent, &grant);
                }
                self.settle(to);
                if !was_in_touch && self.nodes[to].contacts[group].silent_for(now).is_some() {
                    self.send(to, group);
                }
            }
        }
    }

    /// Advances the clock by one step, and returns it.
    fn step(&mut self) -> Time {
        self.now = self.now + STEP;
        let now = self.now;
        let (nodes, at) = (&self.nodes, now);
        let is_due = |e: &mut Envelope| e.due <= at && nodes[e.to].away <= at;
        let due: Vec<_> = self.net.extract_if(.., is_due).collect();
        for envelope in due {
            self.deliver(envelope);
        }
        for ix in 0..self.nodes.len() {
            if self.nodes[ix].away > now {
                continue;
            }
            for group in 0..self.nodes[ix].contacts.len() {
                if !self.teams.iter().any(|(name, _)| group_of(name) == group) {
                    continue;
                }
                let timed_out = |sent: Time| now.since(sent) >= REPLY_TIMEOUT;
                if self.nodes[ix].sending[group].is_some_and(timed_out) {
                    self.nodes[ix].sending[group] = None;
                    for team in 0..self.teams.len() {
                        if group_of(&self.teams[team].0) == group {
                            self.nodes[ix].stocks[team].report_lost();
                        }
                    }
                }
                let last = self.nodes[ix].last_sent[group];
                if now.since(last) >= REPORT_INTERVAL {
                    let serving = self.serving_names(ix);
                    self.tick(ix, group, &serving);
                    self.send(ix, group);
                }
            }
            if !self.nodes[ix].waiting.is_empty() {
                self.settle(ix);
            }
        }
        now
    }

    fn tick(&mut self, ix: usize, group: usize, serving: &[Name]) {
        let now = self.now;
        for (team, (name, _)) in self.teams.iter().enumerate() {
            let all = self.nodes.iter();
            let granter = self.nodes[ix].contacts[group_of(name)].granter();
            let granter = self.nodes.iter().position(|n| Some(&n.name) == granter);
            let is_near = |ix| granter.is_none_or(|g| self.is_near(g, ix));
            let standing =
                |(ix, n): (usize, &Node)| Standing::new(serving.contains(&n.name), is_near(ix));
            let all = all
                .enumerate()
                .map(|(ix, n)| (&self.nodes[ix].name, standing((ix, n))));
            let may_advance = quota::may_advance(name, &self.nodes[ix].name, all);
            self.nodes[ix].may_advance[team] = may_advance;
        }
        let node = &mut self.nodes[ix];
        let granter = quota::granter(u64::try_from(group).unwrap(), serving);
        node.contacts[group].set_granter(granter);
        node.granter
            .set_nodes(now, serving.iter().map(|n| (n, 1.0)));
        let own = &node.name;
        let is_granted = |(name, limit): &(Name, Limit)| {
            let granter = quota::granter(quota::group(name), serving);
            (granter == Some(own)).then(|| (Name::clone(name), *limit))
        };
        let teams: HashMap<_, _> = self.teams.iter().filter_map(is_granted).collect();
        node.granter
            .set_teams(now, teams.iter().map(|(n, l)| (n, *l)));
        node.granter.fill(now);
    }

    /// Runs for `secs`, with requests at `factor` times the limit of each team
    /// at random nodes of the first `reached`.
    fn run(&mut self, secs: u64, reached: usize, factor: f64, mut fault: impl FnMut(&mut Self)) {
        let end = self.now + Duration::from_secs(secs);
        while self.step() < end {
            fault(self);
            for team in 0..self.teams.len() {
                let limit = self.teams[team].1;
                let mut mean = limit.per_sec * factor * STEP.as_secs_f64();
                while mean > 0.0 {
                    if self.random.chance(mean.min(1.0))
                        && self.counts[team].conforms(limit, factor)
                    {
                        let ix = self.random.below(reached);
                        self.request(ix, team);
                    }
                    mean -= 1.0;
                }
                let level = &mut self.counts[team].level;
                *level = (*level + limit.per_sec * STEP.as_secs_f64()).min(limit.burst);
            }
        }
    }

    fn reset_counts(&mut self) {
        for count in &mut self.counts {
            (count.admissions, count.refused) = (0, 0);
        }
    }

    fn assert_within(&self, context: &str) {
        for (count, (name, limit)) in self.counts.iter().zip(&self.teams) {
            let over = count.most_over;
            assert!(over <= 0.0, "{context}: {name} {limit:?} {over} over");
        }
    }
}

impl Count {
    /// Whether one more request is below the limit; any is for a factor above 1.
    fn conforms(&mut self, limit: Limit, factor: f64) -> bool {
        if factor > 1.0 {
            return true;
        }
        let conforms = self.level >= 1.0 || (limit.burst < 1.0 && self.level >= limit.burst);
        self.level -= if conforms { 1.0 } else { 0.0 };
        conforms
    }

    fn admit(&mut self, now: Time, limit: Limit) {
        self.admissions += 1;
        self.admitted.push_back(now);
        while self
            .admitted
            .front()
            .is_some_and(|t| now.since(*t) >= WINDOW)
        {
            self.admitted.pop_front();
        }
        let most = (limit.per_sec * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0;
        let count = f64::from(u32::try_from(self.admitted.len()).unwrap());
        let over = count - most;
        if self.admissions == 1 || over > self.most_over {
            self.most_over = over;
        }
    }
}

fn group_of(team: &str) -> usize {
    usize::try_from(quota::group(team)).unwrap()
}

/// Guards against refusing requests below the limit, also of small teams whose
/// callers choose nodes at random.
#[test]
fn take_below_limit_is_admitted() {
    for (seed, rate, burst, factor) in [
        (1, 0.3, 2.0, 1.0),
        (2, 5.0, 5.0, 1.0),
        (3, 40.0, 20.0, 1.0),
        (4, 200.0, 60.0, 1.0),
    ] {
        let mut sim = Sim::new(seed, 20, 16, &[(rate, burst)]);
        sim.run(4, 20, factor, |_| {});
        sim.reset_counts();
        sim.run(20, 20, factor, |_| {});
        let count = &sim.counts[0];
        let (admitted, refused) = (count.admissions, count.refused);
        println!("rate {rate}: {admitted} admitted, {refused} refused");
        assert!(refused * 20 <= admitted, "{rate}: {admitted} {refused}");
        sim.assert_within("below the limit");
    }
}

/// Guards against refusals at nodes in another region than the granter, whose
/// replies take longer than a request may wait.
#[test]
fn take_below_limit_in_other_regions_is_admitted() {
    for (seed, rate, burst) in [
        (61, 0.3, 2.0),
        (62, 1.0, 2.0),
        (63, 5.0, 5.0),
        (64, 40.0, 20.0),
        (65, 200.0, 60.0),
    ] {
        let mut sim = Sim::new(seed, 20, 16, &[(rate, burst)]);
        sim.regions = 3;
        sim.run(5, 16, 0.9, |_| {});
        sim.reset_counts();
        sim.run(40, 16, 0.9, |_| {});
        let (admitted, refused) = (sim.counts[0].admissions, sim.counts[0].refused);
        println!("far, rate {rate}: {admitted} admitted, {refused} refused");
        assert!(refused * 20 <= admitted, "{rate}: {admitted} {refused}");
        sim.assert_within("other regions");
    }
}

/// Guards against a team at six times its rate getting more or much less than
/// its limit.
#[test]
fn take_hot_team_gets_its_limit() {
    for (seed, rate, burst) in [(11, 2.0, 2.0), (12, 30.0, 10.0), (13, 150.0, 300.0)] {
        let mut sim = Sim::new(seed, 20, 16, &[(rate, burst)]);
        sim.run(4, 16, 6.0, |_| {});
        sim.reset_counts();
        sim.run(15, 16, 6.0, |_| {});
        let admitted = f64::from(u32::try_from(sim.counts[0].admissions).unwrap());
        println!("rate {rate}: {admitted} of {}", rate * 15.0);
        assert!(admitted >= rate * 15.0 * 0.93, "{rate}: {admitted}");
        sim.assert_within("hot team");
    }
}

/// A burst that the configuration allows must not be refused after idle time.
#[test]
fn take_burst_after_idle_time_is_admitted() {
    let mut sim = Sim::new(21, 20, 16, &[(4.0, 100.0)]);
    sim.run(40, 16, 0.0, |_| {});
    for _ in 0..95 {
        let ix = sim.random.below(16);
        sim.request(ix, 0);
    }
    sim.run(1, 16, 0.0, |_| {});
    assert_eq!(sim.counts[0].refused, 0);
    sim.run(10, 16, 20.0, |_| {});
    sim.assert_within("burst");
}

/// Guards against large teams taking what small ones need.
#[test]
fn take_many_unequal_teams_are_admitted() {
    let rate = |ix: u32| 0.3 * 1.07_f64.powf(f64::from(ix));
    let teams: Vec<_> = (0..72).map(|ix| (rate(ix), rate(ix).max(2.0))).collect();
    let mut sim = Sim::new(31, 20, 14, &teams);
    sim.run(5, 20, 0.9, |_| {});
    sim.reset_counts();
    sim.run(10, 20, 0.9, |_| {});
    let admitted: usize = sim.counts.iter().map(|c| c.admissions).sum();
    let refused: usize = sim.counts.iter().map(|c| c.refused).sum();
    println!("72 teams: {admitted} admitted, {refused} refused");
    assert!(refused * 20 <= admitted, "{admitted} {refused}");
    sim.assert_within("72 teams");
}

/// Guards against a cut-off node and the others using its share twice.
#[test]
fn take_one_of_three_nodes_cut_off_keeps_the_limit() {
    for (seed, rate, burst) in [(41, 2.0, 2.0), (42, 30.0, 20.0), (43, 200.0, 100.0)] {
        for cut in 0..3 {
            let mut sim = Sim::new(seed, 3, 3, &[(rate, burst)]);
            sim.run(5, 3, 4.0, |_| {});
            sim.nodes[cut].side = 1;
            let end = sim.now + Duration::from_mins(10);
            let gone = sim.now + Duration::from_secs(4);
            // The others no longer see it, while it sees all.
            sim.excluded.push((cut, gone, end));
            sim.run(40, 3, 4.0, |_| {});
            sim.nodes[cut].side = 0;
            sim.excluded.clear();
            sim.run(10, 3, 4.0, |_| {});
            sim.assert_within(&format!("rate {rate}, node {cut} cut off"));
        }
    }
}

/// Guards against a granter that dies at any step of its work leaving the team
/// without service, or with too much.
#[test]
fn take_granter_killed_at_each_step_keeps_the_limit() {
    for step in 0..12 {
        for factor in [0.9, 5.0] {
            let mut sim = Sim::new(50 + step, 12, 12, &[(50.0, 25.0)]);
            sim.run(4, 12, factor, |_| {});
            sim.now = sim.now + Duration::from_millis(step * 21);
            let serving = sim.serving_names(0);
            let group = quota::group(&sim.teams[0].0);
            let granter = quota::granter(group, &serving).unwrap();
            let ix = sim.nodes.iter().position(|n| n.name == *granter).unwrap();
            let end = sim.now + Duration::from_secs(22);
            sim.nodes[ix] = sim.fresh_node(ix, 0);
            sim.nodes[ix].away = end;
            let seen = sim.now + Duration::from_secs(3);
            sim.excluded.push((ix, seen, end));
            sim.reset_counts();
            sim.run(20, 12, factor, |_| {});
            let count = &sim.counts[0];
            let (admitted, refused) = (count.admissions, count.refused);
            println!("killed at {step}, {factor}: {admitted} admitted, {refused} refused");
            let wanted = (50.0 * 20.0 * f64::min(factor, 1.0) * 0.75).floor();
            assert!(
                f64::from(u32::try_from(admitted).unwrap()) >= wanted,
                "{admitted}"
            );
            sim.run(8, 12, factor, |_| {});
            sim.assert_within("granter killed");
        }
    }
}

/// One random fault of a node, or of the network.
fn random_fault(sim: &mut Sim) {
    if !sim.random.chance(STEP.as_secs_f64() * 1.5) {
        return;
    }
    let ix = sim.random.below(sim.nodes.len());
    let millis = u64::try_from(sim.random.below(4_000)).unwrap();
    let until = sim.now + Duration::from_millis(millis);
    match sim.random.below(6) {
        0 => sim.nodes[ix].away = until,
        1 => {
            let side = sim.nodes[ix].side;
            sim.nodes[ix] = sim.fresh_node(ix, side);
            sim.nodes[ix].away = sim.now + Duration::from_millis(millis / 4);
        }
        2 => sim.nodes[ix].side = 1 - sim.nodes[ix].side,
        3 => {
            for node in &mut sim.nodes {
                node.side = 0;
            }
        }
        4 => sim.loss = [0.0, 0.05, 0.3][sim.random.below(3)],
        _ => {
            sim.max_delay = [3, 40, 300][sim.random.below(3)];
            let end = until + Duration::from_secs(2);
            sim.excluded.push((ix, sim.now, end));
        }
    }
}

/// Guards against faults that make the nodes admit more than the rule allows.
#[test]
fn take_random_faults_keep_the_limit() {
    for seed in 0..12 {
        let teams = [(0.3, 1.0), (3.0, 6.0), (40.0, 20.0), (200.0, 50.0)];
        let nodes = [3, 8, 16][usize::try_from(seed % 3).unwrap()];
        let mut sim = Sim::new(1_000 + seed, nodes + 2, nodes, &teams);
        sim.run(30, nodes + 2, 4.0, random_fault);
        for count in &sim.counts {
            println!("seed {seed}: {} below the bound", -count.most_over);
        }
        sim.assert_within(&format!("seed {seed}, {nodes} nodes"));
    }
}

/// Guards against a changed limit that is not in force at once, or that fails
/// for a limit of zero, which means none.
#[test]
fn grant_follows_a_changed_limit() {
    let (team, node) = (Name::from("team"), Name::from("node"));
    let mut granter = Granter::default();
    granter.set_nodes(Time::from_millis(0), [(&node, 1.0)]);
    let set = |granter: &mut Granter, millis: u64, per_sec: f64| {
        let now = Time::from_millis(millis);
        granter.record_contact(now, &node, Some(Duration::ZERO));
        let limit = Limit {
            per_sec,
            burst: per_sec,
        };
        granter.set_teams(now, [(&team, limit)]);
        granter.level("team").unwrap().0
    };
    for (millis, per_sec, least, most) in [
        (500, 100.0, 0.0, 0.0),
        (1_000, 100.0, 45.0, 50.0),
        (1_400, 1.0, 1.0, 7.0),
        (1_800, 100.0, 1.0, 8.0),
        (2_300, 100.0, 45.0, 60.0),
    ] {
        let level = set(&mut granter, millis, per_sec);
        assert!((least..=most).contains(&level), "{millis}: {level}");
    }
    granter.set_teams(Time::from_millis(2_400), []);
    assert_eq!(granter.level("team"), None);
    let mut unlimited = heatherrun_kernel::routes::Team {
        name: team,
        keys: Vec::new(),
        per_sec: Some(0.0),
        burst: 3.0,
        priority: None,
        regions: Vec::new(),
    };
    assert_eq!(Limit::of(&unlimited), None);
    unlimited.per_sec = None;
    assert_eq!(Limit::of(&unlimited), None);
}
