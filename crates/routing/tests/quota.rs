//! Simulation of the quotas of teams: several nodes and their granters on a
//! fake clock, with seeded faults.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use heatherrun_kernel::Time;
use heatherrun_kernel::routes::Name;
use heatherrun_routing::quota::contact::Contact;
use heatherrun_routing::quota::granter::Granter;
use heatherrun_routing::quota::stock::{Decision, Stock, Terms};
use heatherrun_routing::quota::{
    self, Demand, Grant, Limit, MAX_GROUPS, REPLY_TIMEOUT, REPORT_INTERVAL,
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
    excluded: Vec<usize>,
    teams: Vec<(Name, Limit)>,
    net: Vec<Envelope>,
    loss: f64,
    max_delay: u64,
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

    fn serving_names(&self) -> Vec<Name> {
        let serving = (0..self.serving).filter(|ix| !self.excluded.contains(ix));
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
        waiting.retain_mut(|(team, deadline, next)| {
            if now < *next {
                return true;
            }
            let terms = self.terms(ix, *team);
            let is_in_time = |at: Time| at < *deadline;
            match self.nodes[ix].stocks[*team].take(now, &terms) {
                Decision::Admitted(_) => {
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
            if self.nodes[ix].waiting.iter().any(asks) {
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
        let delay = if from == to { 0 } else { 1 + delay };
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
        let serving = self.serving_names();
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
            let all = all.map(|n| (&n.name, serving.contains(&n.name)));
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
