//! Simple entries to compare with: each calls the targets itself, knows only
//! its own calls, and keeps no limits.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use heatherrun_kernel::message::{CallKind, CallResult, Lot, TargetCall};
use heatherrun_kernel::port::Endpoint;
use heatherrun_kernel::{CallId, Epoch, MapRev, QueryId, ServiceId, ShardIx, Snapshot, TargetId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::cell::Cell;
use crate::load::Client;
use crate::tally::{Answer, Told};

/// Delay of the fixed hedge.
const HEDGE: Duration = Duration::from_millis(30);

/// Time kept for the way back.
const MARGIN: Duration = Duration::from_millis(2);

/// How a baseline treats its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Random replica, no hedge.
    Random,
    /// Replica with the fewest of the entry's own calls, no hedge.
    Least,
    /// Random replica, and another one after a fixed delay.
    Hedged,
}

/// A baseline.
pub struct Baseline {
    manner: Manner,
    state: Mutex<State>,
}

struct State {
    rng: SmallRng,
    seq: u64,
    /// Calls in flight by entry and target.
    flying: BTreeMap<(usize, TargetId), u32>,
}

/// One shard's share of a request.
struct Ask<'a> {
    cell: &'a Cell,
    client: &'a Client,
    query: QueryId,
    shard: usize,
    replicas: &'a [TargetId],
    end: tokio::time::Instant,
}

impl Baseline {
    /// Baseline of this manner.
    #[must_use]
    pub fn new(manner: Manner, seed: u64) -> Arc<Self> {
        let state = State {
            rng: SmallRng::seed_from_u64(seed),
            seq: 0,
            flying: BTreeMap::new(),
        };
        Arc::new(Self {
            manner,
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves one request.
    pub async fn serve(&self, cell: &Cell, client: &Client, shards: &[Vec<TargetId>]) -> Told {
        let query = {
            let mut state = self.lock();
            state.seq += 1;
            QueryId {
                entry: client.node as u64,
                seq: state.seq,
            }
        };
        let end = tokio::time::Instant::now() + client.deadline - MARGIN;
        let asks = shards.iter().enumerate().map(|(shard, replicas)| {
            let ask = Ask {
                cell,
                client,
                query,
                shard,
                replicas,
                end,
            };
            self.ask(ask)
        });
        merge(join_all(asks).await)
    }

    async fn ask(&self, ask: Ask<'_>) -> (usize, Option<CallResult>) {
        let first = self.choose(&ask, None);
        let call = self.call(&ask, first, 0);
        tokio::pin!(call);
        if self.manner == Manner::Hedged {
            let at = (tokio::time::Instant::now() + HEDGE).min(ask.end);
            if let Ok(result) = tokio::time::timeout_at(at, &mut call).await {
                return (1, Some(result));
            }
            let second = self.choose(&ask, Some(first));
            let hedge = self.call(&ask, second, 1);
            let both = async {
                tokio::select! {
                    biased;
                    result = &mut call => result,
                    result = hedge => result,
                }
            };
            return (2, tokio::time::timeout_at(ask.end, both).await.ok());
        }
        (1, tokio::time::timeout_at(ask.end, call).await.ok())
    }

    fn choose(&self, ask: &Ask<'_>, but: Option<TargetId>) -> TargetId {
        let mut state = self.lock();
        let pool: Vec<_> = ask.replicas.iter().filter(|id| Some(**id) != but).collect();
        let start = state.rng.random_range(0..pool.len());
        if self.manner != Manner::Least {
            return *pool[start];
        }
        let turned = (0..pool.len()).map(|ix| *pool[(start + ix) % pool.len()]);
        let flying = |id: &TargetId| state.flying.get(&(ask.client.node, *id)).copied();
        turned
            .min_by_key(|id| flying(id).unwrap_or(0))
            .unwrap_or_default()
    }

    async fn call(&self, ask: &Ask<'_>, target: TargetId, hedge: u16) -> CallResult {
        let shard = u16::try_from(ask.shard).unwrap_or(u16::MAX);
        let id = CallId {
            query: ask.query,
            attempt: shard * 2 + hedge,
        };
        let call = TargetCall {
            id,
            target,
            service: ServiceId::from_name(ask.client.service),
            shard: ShardIx(shard),
            kind: CallKind::Search,
            snapshot: Snapshot(0),
            map: MapRev(0),
            epoch: Epoch(0),
            time_left: ask.end - tokio::time::Instant::now(),
            body: Arc::from(ask.client.body.as_bytes()),
        };
        let endpoint = Endpoint {
            address: ask.cell.nodes[ask.client.node].info.peers,
            connections: 1,
        };
        let key = (ask.client.node, target);
        *self.lock().flying.entry(key).or_default() += 1;
        let _open = Flying {
            baseline: self,
            key,
        };
        (ask.cell.nodes[ask.client.node].targets.call)((endpoint, call)).await
    }
}

/// Counts a call as in flight until it is dropped.
struct Flying<'a> {
    baseline: &'a Baseline,
    key: (usize, TargetId),
}

impl Drop for Flying<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.baseline.lock().flying.get_mut(&self.key) {
            *count -= 1;
        }
    }
}

fn merge(results: Vec<(usize, Option<CallResult>)>) -> Told {
    let mut answer = Answer {
        total: results.len(),
        ..Answer::default()
    };
    for (shard, (calls, result)) in results.into_iter().enumerate() {
        answer.attempts += calls;
        let Some(Ok(reply)) = result else {
            answer.missing.push(shard);
            continue;
        };
        answer.reached += 1;
        answer.snapshot = answer.snapshot.max(reply.snapshot);
        let lot = |lot: Lot| (lot.id, lot.text);
        answer.lots.extend(reply.lots.into_iter().map(lot));
    }
    if answer.reached == 0 {
        return Told::Unknown("timeout".to_owned());
    }
    Told::Answer(answer)
}
