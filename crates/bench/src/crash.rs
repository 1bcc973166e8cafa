//! `crash`: requests that crash each target that runs them, repeated by their
//! callers at all entries.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use heatherrun_kernel::message::Class;

use crate::cell::Cell;
use crate::load::{Client, Server};
use crate::plan::{self, Plan};
use crate::tally::{Kind, Told};
use crate::trial::{DEADLINE, Trial};

/// Beginning of the bodies that crash their targets.
const POISON: &str = "poison";

/// Requests that crash targets, in each run.
const REQUESTS: usize = 5;

/// Times that a caller goes through all entries.
const ROUNDS: usize = 2;

/// Load of harmless requests, in per cent.
const LOAD: u32 = 30;

/// Whom the request crashes, and how it is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Manner {
    service: usize,
    /// Only the targets of the first shard crash.
    one: bool,
    /// The caller asks all entries at the same time.
    at_once: bool,
}

/// All cases.
#[must_use]
pub fn trials(seed: u64, span: Duration) -> Vec<Trial> {
    let plan = Plan::kernwerk(plan::kernwerk_services(), seed);
    let cases = [
        ("request, one entry after the other", 2, false, false),
        ("request, all entries at once", 2, false, true),
        ("search, one shard crashes", 0, true, false),
        ("search, one shard, all entries at once", 0, true, true),
        ("search, all shards crash", 0, false, false),
    ];
    let mut trials = Vec::new();
    for (name, service, one, at_once) in cases {
        let manner = Manner {
            service,
            one,
            at_once,
        };
        let trial = Trial::steady(name, &plan, LOAD, span);
        trials.push(trial.hostile(move |cell, server| poison(cell, server, manner, span)));
    }
    trials
}

async fn poison(cell: Arc<Cell>, server: Server, manner: Manner, span: Duration) {
    let service = cell.plan.services[manner.service].name;
    let shards = cell.shards(service);
    let hit = if manner.one { 1 } else { shards.len() };
    for id in shards.iter().take(hit).flatten() {
        cell.searchers[id].change(|settings| settings.crash = Some(POISON.into()));
    }
    let mut told = Vec::new();
    for n in 0..REQUESTS {
        let body = format!("{POISON}-{n}");
        for _ in 0..ROUNDS {
            let asks =
                (0..cell.nodes.len()).map(|node| client(&cell, &server, manner, node, &body));
            if manner.at_once {
                told.extend(join_all(asks).await);
            } else {
                for ask in asks {
                    told.push(ask.await);
                }
            }
        }
        tokio::time::sleep(span / 10).await;
    }
    let crashed = |n| {
        let body = format!("{POISON}-{n}");
        let started = |id| cell.searchers[id].runs(body.as_bytes()).started;
        shards.iter().take(hit).flatten().map(started).sum::<u32>()
    };
    let worst = (0..REQUESTS).map(crashed).max().unwrap_or(0);
    let total: u32 = (0..REQUESTS).map(crashed).sum();
    let count = |name: fn(&Told) -> bool| told.iter().filter(|t| name(t)).count();
    cell.remark(format!(
        "{REQUESTS} requests asked {} times; crashed at most {worst} each, {total} in all; told \
         {} not run, {} unknown, {} answers, {} nothing",
        told.len(),
        count(|t| matches!(t, Told::NotRun(_))),
        count(|t| matches!(t, Told::Unknown(_))),
        count(|t| matches!(t, Told::Answer(_))),
        count(|t| matches!(t, Told::Nothing)),
    ));
    cell.note_worst(u64::from(worst));
}

async fn client(
    cell: &Arc<Cell>,
    server: &Server,
    manner: Manner,
    node: usize,
    body: &str,
) -> Told {
    let service = &cell.plan.services[manner.service];
    let client = Client {
        cell: Arc::clone(cell),
        server: server.clone(),
        node,
        service: service.name,
        kind: if service.shards == 0 {
            Kind::Repeatable
        } else {
            Kind::Search
        },
        class: Class::Normal,
        deadline: DEADLINE,
        body: body.to_owned(),
    };
    client.ask().await.told
}
