//! Runs one cell on the paused clock and judges it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherrun_kernel::TargetId;
use heatherrun_schema::v1::{self, Operator};

use crate::callers::{self, Want};
use crate::cell::{Cell, Step};
use crate::hook::{MARKED, Place};
use crate::journal::{Accepted, Ending, InForce};
use crate::promise::{Aftermath, Broken, judge};
use crate::world::{DOMAINS, SHARDED, World};

/// Time for which searches run before the cell is armed.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time from arming to the end: a change must be in force by then.
const SPAN: Duration = Duration::from_secs(24);

/// Time between two bursts of background searches.
const BEAT: Duration = Duration::from_millis(150);

/// Searches of one burst.
const BURST: usize = 4;

/// Marked once-only requests of one run.
const MORE: usize = 6;

/// Deadline in which few searches cover all shards, in milliseconds.
const SHORT_MS: u32 = 22;

/// Time between two looks at the revisions in force.
const LOOK: Duration = Duration::from_millis(100);

/// Time between two versions of the index.
const ROLL: Duration = Duration::from_secs(4);

/// Tries of the last searches through one node.
const LAST_TRIES: usize = 5;

/// The request at which the steps of a request are hooked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A search.
    Search,
    /// A once-only request.
    Once,
}

/// Result of one cell.
#[derive(Clone, Debug)]
pub struct Result {
    /// Whether the step was reached, so that the fault was injected.
    pub fired: bool,
    /// Broken promises.
    pub broken: Vec<Broken>,
    /// How the marked search and the marked once-only request ended.
    pub endings: [&'static str; 2],
}

/// Runs `cell` on a paused runtime of its own.
///
/// # Panics
/// When the runtime cannot be made.
#[must_use]
pub fn run(cell: Cell, kind: Kind) -> Result {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime of one thread");
    runtime.block_on(run_cell(cell, kind))
}

async fn run_cell(cell: Cell, kind: Kind) -> Result {
    let world = World::start().await;
    tokio::spawn(background(Arc::clone(&world)));
    tokio::spawn(watch_force(Arc::clone(&world)));
    tokio::spawn(roll(Arc::clone(&world)));
    tokio::time::sleep(WARM_UP).await;
    world.net.hook.arm(cell);
    let [text, once_text] = texts(kind);
    let searching = {
        let world = Arc::clone(&world);
        let want = Want {
            least: 100,
            turn: 1,
            ..Want::default()
        };
        tokio::spawn(async move { callers::search(&world, text, want).await })
    };
    let sending = {
        let world = Arc::clone(&world);
        tokio::spawn(async move { callers::once(&world, once_text, 1).await })
    };
    if kind == Kind::Once {
        send_more(&world);
    }
    if cell.step.is_control() {
        act(&world, cell).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    leave_one_target(&world);
    let once = callers::once(&world, "later-once".to_owned(), 2).await;
    tokio::time::sleep(SPAN).await;
    drop(once);
    let recovered = last_searches(&world).await;
    let endings = [
        name(searching.await.unwrap_or(Ending::Lost)),
        name(sending.await.unwrap_or(Ending::Lost)),
    ];
    let records = world.net.journal.lock().clone();
    Result {
        fired: world.net.hook.fired().is_some(),
        broken: judge(&records, &aftermath(&world, recovered)),
        endings,
    }
}

/// Sends more marked requests through other entries, so that some are owned
/// elsewhere.
fn send_more(world: &Arc<World>) {
    for turn in 2..=MORE {
        let world = Arc::clone(world);
        let text = format!("{MARKED}-once-{turn}");
        tokio::spawn(async move { callers::once(&world, text, turn).await });
    }
}

/// Texts of the search and of the once-only request; one of them is marked.
fn texts(kind: Kind) -> [String; 2] {
    match kind {
        Kind::Search => [format!("{MARKED}-search"), "other-once".to_owned()],
        Kind::Once => ["other-search".to_owned(), format!("{MARKED}-once")],
    }
}

fn name(ending: Ending) -> &'static str {
    match ending {
        Ending::Answer(_) | Ending::Reply(_) => "ok",
        Ending::Refused(refused) if refused.ran() == v1::Ran::NotRun => "not-run",
        Ending::Refused(_) => "unknown",
        Ending::Lost => "lost",
    }
}

fn aftermath(world: &World, recovered: bool) -> Aftermath {
    let breach =
        |(id, spot): (&TargetId, &crate::net::Spot)| (*id, spot.searcher.counts().breaches);
    let mut breaches: Vec<_> = world.net.targets.iter().map(breach).collect();
    breaches.sort_unstable();
    Aftermath {
        breaches,
        alive: world.live(),
        recovered,
        hurt: world.hurt(),
        behind: world.hurt(),
        end: world.net.clock.now(),
    }
}

/// The control action that brings the steps of control about.
async fn act(world: &Arc<World>, cell: Cell) {
    match cell.step {
        Step::RightTaken => {
            world.add_node();
        }
        Step::RightReleased => world.drain(1),
        Step::RightRenewed => {}
        _ => change_limits(world, cell).await,
    }
}

/// Writes a changed configuration until it is accepted.
async fn change_limits(world: &Arc<World>, cell: Cell) {
    let mut config = world.config.clone();
    for service in &mut config.services {
        if let Some(limits) = &mut service.limits {
            limits.extra_percent += 1;
        }
    }
    for attempt in 0..30 {
        let live = world.live();
        let index = live[attempt % live.len()];
        let node = world.node(index);
        let base = node.view.load().revision.0;
        let request = v1::ApplyRequest {
            config: Some(config.clone()),
            base,
            dry_run: false,
        };
        let answer = node.apply(request).await;
        if let Ok(answer) = answer
            && answer.accepted
        {
            let at = world.net.clock.now();
            let revision = heatherrun_kernel::Revision(answer.revision);
            world
                .net
                .journal
                .lock()
                .accepted
                .push(Accepted { at, revision });
            node.refresh(revision).await;
            if cell.step == Step::Adopted {
                let place = Place {
                    node: index,
                    target: None,
                };
                let _ = world.net.reach(Step::Adopted, place);
            }
            return;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// One replica says from now on that it is leaving, though it runs calls.
fn leave_one_target(world: &World) {
    let id = TargetId::from_searcher(SHARDED, &format!("0-{}", DOMAINS[1]));
    if let Some(spot) = world.net.targets.get(&id) {
        spot.leaving.store(true, Ordering::Relaxed);
        let now = world.net.clock.now();
        world.net.journal.lock().target_drain = Some((now, id));
    }
}

async fn background(world: Arc<World>) {
    for turn in 0.. {
        for _ in 0..BURST {
            let (world, want) = (Arc::clone(&world), want(turn));
            tokio::spawn(
                async move { callers::search(&world, format!("back-{turn}"), want).await },
            );
        }
        tokio::time::sleep(BEAT).await;
    }
}

/// Most searches take what they get; some have too little time.
const fn want(turn: usize) -> Want {
    let (least, deadline_ms) = match turn % 8 {
        3 => (50, SHORT_MS),
        5 => (100, SHORT_MS),
        _ => (50, 0),
    };
    Want {
        least,
        deadline_ms,
        turn,
    }
}

async fn watch_force(world: Arc<World>) {
    loop {
        let at = world.net.clock.now();
        for node in world.live() {
            let revision = world.node(node).view.load().revision;
            let seen = InForce { at, node, revision };
            world.net.journal.lock().in_force.push(seen);
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn roll(world: Arc<World>) {
    for version in 2.. {
        tokio::time::sleep(ROLL).await;
        world.roll_snapshot(version);
    }
}

/// Whether each live node answers a search over all shards in the end.
async fn last_searches(world: &Arc<World>) -> bool {
    let shards = u32::from(crate::world::SHARDS);
    for node in world.live() {
        let mut whole = false;
        for n in 0..LAST_TRIES {
            let ask = v1::SearchRequest {
                service: SHARDED.to_owned(),
                query: format!("last-{n}"),
                limit: 100,
                min_coverage: 100,
                ..v1::SearchRequest::default()
            };
            let answer = world.node(node).entry.search(ask).await;
            let reached = answer.map(|a| a.coverage.map_or(0, |c| c.reached));
            if reached == Ok(shards) {
                whole = true;
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        if !whole {
            return false;
        }
    }
    true
}
