//! Callers: they ask which address to use, keep the answer for a while,
//! connect, and repeat once-only requests with the same id.

use std::sync::Arc;
use std::time::Duration;

use heatherrun_schema::v1;
use heatherrun_tier::addresses::addresses;

use crate::cell::{Fault, Step};
use crate::hook::{MARKED, Place};
use crate::journal::{Ending, Request};
use crate::world::{EPOCH_MS, KEEP_SECS, POOLED, SHARDED, World};

/// One-way delay between a caller and an entry.
const HOP: Duration = Duration::from_millis(3);

/// Delay of a late message.
const LATE: Duration = Duration::from_millis(700);

/// Time after which a caller closes its connection.
const PATIENCE: Duration = Duration::from_secs(4);

/// Sendings of one once-only request at the most.
const REPEATS: usize = 4;

/// Lots asked for: all that there are.
const ALL_LOTS: u32 = 1_000;

/// What a caller sends.
#[derive(Clone, Debug)]
enum Sending {
    Search(v1::SearchRequest),
    Once(v1::PoolRequest),
}

impl Sending {
    fn text(&self) -> &str {
        match self {
            Self::Search(ask) => &ask.query,
            Self::Once(ask) => &ask.body,
        }
    }
}

/// How a search is sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Want {
    /// Coverage accepted, in per cent.
    pub least: u32,
    /// Deadline; zero takes the service's.
    pub deadline_ms: u32,
    /// Turn of the caller, which picks the entry.
    pub turn: usize,
}

/// Searches once.
pub async fn search(world: &Arc<World>, text: String, want: Want) -> Ending {
    let turn = want.turn;
    let ask = v1::SearchRequest {
        service: SHARDED.to_owned(),
        query: text,
        limit: ALL_LOTS,
        min_coverage: want.least,
        deadline_ms: want.deadline_ms,
        ..v1::SearchRequest::default()
    };
    send(world, Sending::Search(ask), turn).await
}

/// Sends a once-only request, and again with the same id while it is unknown
/// whether it ran.
pub async fn once(world: &Arc<World>, text: String, turn: usize) -> Ending {
    let now = EPOCH_MS + world.net.clock.now().0 / 1_000;
    let ask = v1::PoolRequest {
        service: POOLED.to_owned(),
        body: text,
        id: format!("{now}-{turn}"),
        once: true,
        ..v1::PoolRequest::default()
    };
    let mut ending = Ending::Lost;
    for repeat in 0..REPEATS {
        ending = send(world, Sending::Once(ask.clone()), turn + repeat).await;
        let again = match &ending {
            Ending::Lost => true,
            Ending::Refused(refused) => refused.ran() == v1::Ran::Unknown,
            _ => false,
        };
        if !again {
            break;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    ending
}

/// Position of the entry to use: asked of any node that runs.
fn pick(world: &World, turn: usize) -> usize {
    let live = world.live();
    let asked = world.node(live[turn % live.len()]);
    let answer = addresses(&asked.view.load(), KEEP_SECS);
    let nodes = world.nodes();
    let known = |a: &v1::WeightedAddress| {
        let address = a.address.parse().ok()?;
        nodes.iter().position(|n| n.info.callers == address)
    };
    let offered: Vec<usize> = answer.addresses.iter().filter_map(known).collect();
    let offered = if offered.is_empty() { live } else { offered };
    offered[turn % offered.len()]
}

async fn send(world: &Arc<World>, sending: Sending, turn: usize) -> Ending {
    let is_marked = sending.text().starts_with(MARKED);
    let mut place = Place::default();
    if is_marked {
        place.node = pick(world, turn);
        match world.net.reach(Step::AddressAsked, place) {
            Some(Fault::Lost | Fault::Cut) => place.node = pick(world, turn + 1),
            Some(Fault::Late) => tokio::time::sleep(LATE).await,
            _ => {}
        }
    }
    for again in 0..3 {
        place.node = pick(world, turn + again);
        if !world.net.gates[place.node].is_gone() {
            break;
        }
    }
    let sent = world.net.clock.now();
    let text = sending.text().to_owned();
    let ending = exchange(world, sending, place, is_marked).await;
    world.net.journal.lock().requests.push(Request {
        text,
        node: place.node,
        sent,
        ended: world.net.clock.now(),
        ending: ending.clone(),
    });
    ending
}

async fn exchange(world: &Arc<World>, sending: Sending, place: Place, is_marked: bool) -> Ending {
    let net = &world.net;
    tokio::time::sleep(HOP).await;
    if is_marked {
        match net.reach(Step::Accepted, place) {
            Some(Fault::Lost | Fault::Cut) => return Ending::Lost,
            Some(Fault::Late) => tokio::time::sleep(LATE).await,
            Some(Fault::Doubled) => {
                let (world, sending) = (Arc::clone(world), sending.clone());
                tokio::spawn(async move { serve(&world, sending, place, false).await });
            }
            _ => {}
        }
    }
    let gate = &net.gates[place.node];
    let work = async {
        gate.pass().await.map_err(|_| ())?;
        let ending = serve(world, sending, place, is_marked).await;
        if is_marked {
            let _ = net.reach(Step::Merged, place);
        }
        gate.pass().await.map_err(|_| ())?;
        Ok::<_, ()>(ending)
    };
    let done = tokio::select! {
        biased;
        () = gate.gone() => Err(()),
        done = work => done,
        () = tokio::time::sleep(PATIENCE) => Err(()),
    };
    let Ok(ending) = done else {
        return Ending::Lost;
    };
    if is_marked {
        match net.reach(Step::Answered, place) {
            Some(Fault::Lost | Fault::Cut) => return Ending::Lost,
            Some(Fault::Late) => tokio::time::sleep(LATE).await,
            _ => {}
        }
    }
    tokio::time::sleep(HOP).await;
    ending
}

/// Runs the request at its entry as the entry's process would: the work goes
/// on though the caller has gone.
async fn serve(world: &Arc<World>, sending: Sending, place: Place, is_marked: bool) -> Ending {
    let net = Arc::clone(&world.net);
    let node = world.node(place.node);
    let work = async move {
        match sending {
            Sending::Search(ask) => match node.entry.search(ask).await {
                Ok(answer) => Ending::Answer(answer),
                Err(refused) => Ending::Refused(*refused),
            },
            Sending::Once(ask) => match node.entry.request(ask).await {
                Ok(answer) => Ending::Reply(answer),
                Err(refused) => Ending::Refused(*refused),
            },
        }
    };
    let task = tokio::spawn(async move {
        if is_marked {
            let _ = net.reach(Step::Admitted, place);
        }
        tokio::pin!(work);
        // The first poll admits and plans; it ends at the first send.
        if let Some(ending) = futures::FutureExt::now_or_never(work.as_mut()) {
            return ending;
        }
        if is_marked {
            let _ = net.reach(Step::Planned, place);
        }
        work.await
    });
    task.await.unwrap_or(Ending::Lost)
}
