//! A tier on real sockets: every node gives the same answer, once-only
//! requests run once, and the death of a node loses nothing.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use common::{DOMAINS, post, ran, read, request, search, start};
use heatherrun_fakes::searcher::Settings;
use heatherrun_ports::http_client::Client;
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;

/// Times that a caller comes again at the most.
const TRIES: usize = 100;

/// Once-only requests that must be answered.
const ANSWERED: usize = 5;

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap().as_millis()
}

#[tokio::test]
async fn search_alike_through_every_node() {
    let tier = start(3, 10, &Settings::default()).await;
    let client = Client::default();
    let mut answers = Vec::new();
    for local in &tier.nodes {
        let reply = post(&client, local.callers, "/search", &search("kernels")).await;
        let answer: v1::SearchAnswer = read(&reply.unwrap()).unwrap();
        let coverage = answer.coverage.unwrap();
        assert_eq!((coverage.reached, coverage.total), (10, 10));
        answers.push((answer.snapshot, answer.lots));
    }
    assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
}

#[tokio::test]
async fn search_many_at_once_gives_each_caller_its_own_answer() {
    let tier = start(2, 6, &Settings::default()).await;
    let client = Arc::new(Client::default());
    let mut asked = Vec::new();
    for n in 0..60 {
        let (client, address) = (Arc::clone(&client), tier.nodes[n % 2].callers);
        asked.push(tokio::spawn(async move {
            let query = format!("query {n}");
            let answer = search_again(&client, address, &query).await;
            (query, answer)
        }));
    }
    for task in asked {
        let (query, answer) = task.await.unwrap();
        let lots: HashSet<_> = answer.lots.iter().map(|lot| &lot.id).collect();
        assert_eq!(lots.len(), answer.lots.len());
        assert!(answer.lots.iter().all(|lot| lot.text == query));
    }
}

/// Searches, and comes again when told to, up to [`TRIES`] times.
async fn search_again(client: &Client, address: SocketAddr, query: &str) -> v1::SearchAnswer {
    for _ in 0..TRIES {
        let reply = post(client, address, "/search", &search(query)).await;
        let refused = match read::<v1::SearchAnswer>(&reply.unwrap()) {
            Ok(answer) => return answer,
            Err(refused) => refused,
        };
        assert!(refused.retry_ms > 0, "{refused:?}");
        tokio::time::sleep(Duration::from_millis(u64::from(refused.retry_ms))).await;
    }
    panic!("no answer to {query:?} in {TRIES} tries");
}

#[tokio::test]
async fn request_once_repeated_through_every_node_runs_once() {
    let tier = start(3, 2, &Settings::default()).await;
    let client = Client::default();
    let mut answered = 0;
    for n in 0..TRIES {
        let id = format!("{}-receipt{n}", unix_ms());
        let before = ran(&tier, "recibos");
        let mut answers = Vec::new();
        for local in tier.nodes.iter().chain(&tier.nodes) {
            let ask = request(&id, "print receipt", true);
            let reply = post(&client, local.callers, "/request", &ask)
                .await
                .unwrap();
            match read::<v1::PoolAnswer>(&reply) {
                Ok(answer) => answers.push(answer),
                Err(refused) => assert_eq!(refused.ran(), v1::Ran::Unknown, "{refused:?}"),
            }
        }
        let ran = ran(&tier, "recibos") - before;
        assert!(answers.iter().all(|a| a.body == "print receipt"));
        assert!(answers.iter().skip(1).all(|a| a.replayed));
        if answers.is_empty() {
            // Holders of records that are newer than the id say "unknown".
            assert!(ran <= 1);
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        }
        assert_eq!(ran, 1);
        answered += 1;
        if answered == ANSWERED {
            return;
        }
    }
    panic!("only {answered} of {ANSWERED} once-only requests were answered");
}

#[tokio::test]
async fn request_repeatable_answers_with_its_own_body() {
    let tier = start(2, 2, &Settings::default()).await;
    let client = Client::default();
    for n in 0..10 {
        let ask = request("", &format!("label {n}"), false);
        let address = tier.nodes[n % 2].callers;
        let reply = post(&client, address, "/request", &ask).await.unwrap();
        let answer: v1::PoolAnswer = read(&reply).unwrap();
        assert_eq!(answer.body, format!("label {n}"));
    }
}

/// Waits until a once-only request is answered.
async fn once_is_held(tier: &LocalTier, client: &Client) {
    for n in 0..TRIES {
        let ask = request(&format!("{}-held{n}", unix_ms()), "first", true);
        let reply = post(client, tier.nodes[1].callers, "/request", &ask).await;
        if read::<v1::PoolAnswer>(&reply.unwrap()).is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no once-only request was answered in {TRIES} tries");
}

/// Outcomes of requests that were on their way when a node was killed.
#[derive(Debug, Default)]
struct Outcomes {
    whole: usize,
    not_run: usize,
    unknown: usize,
}

#[tokio::test]
async fn kill_owner_in_mid_query_answers_whole_or_truly() {
    let slow = Settings {
        service: Duration::from_millis(60),
        ..Settings::default()
    };
    let mut tier = start(3, 6, &slow).await;
    let client = Arc::new(Client::default());
    once_is_held(&tier, &client).await;
    let before = ran(&tier, "recibos");
    let (mut asked, mut once) = (Vec::new(), Vec::new());
    for n in 0..12 {
        let (client, address) = (Arc::clone(&client), tier.nodes[1 + n % 2].callers);
        asked.push(tokio::spawn(async move {
            post(&client, address, "/search", &search("kernels")).await
        }));
    }
    for n in 0..6 {
        let (client, address) = (Arc::clone(&client), tier.nodes[1 + n % 2].callers);
        let id = format!("{}-kill{n}", unix_ms());
        once.push(tokio::spawn(async move {
            post(&client, address, "/request", &request(&id, &id, true)).await
        }));
    }
    while ran(&tier, "lotes") < 5 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tier.nodes[0].kill();
    let mut searches = Outcomes::default();
    for task in asked {
        let reply = task.await.unwrap().unwrap();
        match read::<v1::SearchAnswer>(&reply) {
            Ok(answer) => {
                let coverage = answer.coverage.unwrap();
                assert_eq!((coverage.reached, coverage.total), (6, 6));
                let lots: HashSet<_> = answer.lots.iter().map(|lot| &lot.id).collect();
                assert_eq!(lots.len(), answer.lots.len());
                searches.whole += 1;
            }
            Err(refused) if refused.ran() == v1::Ran::NotRun => searches.not_run += 1,
            Err(_) => searches.unknown += 1,
        }
    }
    let mut requests = Outcomes::default();
    for task in once {
        let reply = task.await.unwrap().unwrap();
        match read::<v1::PoolAnswer>(&reply) {
            Ok(_) => requests.whole += 1,
            Err(refused) if refused.ran() == v1::Ran::NotRun => requests.not_run += 1,
            Err(_) => requests.unknown += 1,
        }
    }
    let ran = usize::try_from(ran(&tier, "recibos") - before).unwrap();
    assert!(ran >= requests.whole, "{requests:?} but {ran} ran");
    assert!(
        ran <= requests.whole + requests.unknown,
        "{requests:?} but {ran} ran"
    );
    assert!(searches.whole > 0, "{searches:?}");
    assert!(requests.whole > 0, "{requests:?}");
}

#[tokio::test]
async fn kill_node_others_serve_again() {
    let mut tier = start(3, 6, &Settings::default()).await;
    let client = Client::default();
    tier.nodes[0].kill();
    tier.list_vms();
    let address = tier.nodes[1].callers;
    for _ in 0..300 {
        let reply = post(&client, address, "/search", &search("kernels")).await;
        let answer = read::<v1::SearchAnswer>(&reply.unwrap());
        if answer.is_ok_and(|a| a.attempts == 6) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{} nodes of {} serve no whole answer", 2, DOMAINS.len());
}
