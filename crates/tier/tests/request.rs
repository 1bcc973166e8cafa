//! Requests through a tier of seven nodes: once-only requests, requests that
//! crash targets, and refusals, which must be prompt and must say correctly
//! whether the request may have run.

mod common;

use std::time::Duration;

use common::Tier;
use futures::future::join_all;
use heatherrun_kernel::message::Warmth;
use heatherrun_schema::v1;
use tokio::time::Instant;

const CRASHING_QUERY: &str = "poison";

type Answer = Result<v1::PoolAnswer, Box<v1::Refusal>>;

fn once_id(tier: &Tier, random: &str) -> String {
    format!("{}-{random}", tier.node(0).entry.once().unix_ms())
}

async fn send_once(tier: &Tier, index: usize, id: &str, body: &str) -> Answer {
    let request = v1::PoolRequest {
        service: "recibos".to_owned(),
        body: body.to_owned(),
        deadline_ms: 1_000,
        id: id.to_owned(),
        once: true,
        ..v1::PoolRequest::default()
    };
    tier.node(index).entry.request(request).await
}

async fn search(
    tier: &Tier,
    index: usize,
    query: &str,
) -> Result<v1::SearchAnswer, Box<v1::Refusal>> {
    let request = v1::SearchRequest {
        service: "lotes".to_owned(),
        query: query.to_owned(),
        deadline_ms: 1_000,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    };
    tier.node(index).entry.search(request).await
}

/// Sum of one counter over the searchers of a service.
fn sum_counts(
    tier: &Tier,
    service: &str,
    count: impl Fn(&heatherrun_fakes::searcher::Counts) -> u64,
) -> u64 {
    let searchers = tier.mesh.searchers.iter();
    let of_service = searchers.filter(|(name, _)| name.starts_with(service));
    of_service
        .map(|(_, searcher)| count(&searcher.counts()))
        .sum()
}

fn change_settings(
    tier: &Tier,
    service: &str,
    change: impl Fn(&mut heatherrun_fakes::searcher::Settings),
) {
    for (name, searcher) in &tier.mesh.searchers {
        if name.starts_with(service) {
            searcher.change(&change);
        }
    }
}

/// Waits until the nodes have held the partitions of once-only records for long
/// enough to grant ids that are issued from then on.
async fn warm_up(tier: &Tier) {
    tokio::time::sleep(Duration::from_secs(5)).await;
    tier.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn once_repeated_at_every_entry_runs_once() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let id = once_id(&tier, "a");
    let first = send_once(&tier, 0, &id, "receipt").await.unwrap();
    assert!(!first.replayed);
    for index in 0..7 {
        let again = send_once(&tier, index, &id, "receipt").await.unwrap();
        assert!(again.replayed);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(sum_counts(&tier, "recibos", |c| c.ran), 1);
}

#[tokio::test(start_paused = true)]
async fn once_at_all_entries_concurrently_runs_once() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let id = once_id(&tier, "b");
    let answers = join_all((0..7).map(|index| send_once(&tier, index, &id, "receipt"))).await;
    let ran = answers.iter().flatten().filter(|a| !a.replayed).count();
    assert_eq!((ran, sum_counts(&tier, "recibos", |c| c.arrived)), (1, 1));
    for refused in answers.iter().filter_map(|a| a.as_ref().err()) {
        assert_eq!(
            (refused.ran(), refused.kind.as_str()),
            (v1::Ran::Unknown, "pending")
        );
    }
}

#[tokio::test(start_paused = true)]
async fn once_refusal_depends_on_id() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let now = tier.node(0).entry.once().unix_ms();
    let used = once_id(&tier, "used");
    send_once(&tier, 0, &used, "receipt").await.unwrap();
    // Columns: id, kind of the refusal, whether the request may have run.
    let cases = [
        (used, "conflict", v1::Ran::NotRun),
        ("no-time".to_owned(), "bad-id", v1::Ran::NotRun),
        (
            format!("{}-x", now - 3_600_000),
            "too-old",
            v1::Ran::Unknown,
        ),
        (format!("{}-x", now + 60_000), "bad-id", v1::Ran::Unknown),
        (format!("{}-x", now - 60_000), "pending", v1::Ran::Unknown),
    ];
    for (id, kind, ran) in cases {
        let refused = send_once(&tier, 1, &id, "another").await.unwrap_err();
        assert_eq!((refused.kind.as_str(), refused.ran()), (kind, ran), "{id}");
        assert!(!refused.remedy.is_empty());
    }
    assert_eq!(sum_counts(&tier, "recibos", |c| c.ran), 1);
}

#[tokio::test(start_paused = true)]
async fn once_with_lost_call_stays_unknown() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    change_settings(&tier, "recibos", |s| s.crash = Some(CRASHING_QUERY.into()));
    let id = once_id(&tier, "c");
    for index in 0..7 {
        let refused = send_once(&tier, index, &id, CRASHING_QUERY)
            .await
            .unwrap_err();
        assert_eq!(refused.ran(), v1::Ran::Unknown, "{refused:?}");
    }
    assert_eq!(sum_counts(&tier, "recibos", |c| c.crashes), 1);
}

#[tokio::test(start_paused = true)]
async fn once_at_isolated_entry_runs_at_most_once() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    tier.mesh.cut_peers(0, true);
    for round in 0..20 {
        let id = once_id(&tier, &format!("d{round}"));
        let before = sum_counts(&tier, "recibos", |c| c.arrived);
        match send_once(&tier, 0, &id, "receipt").await {
            Ok(_) => {}
            Err(refused) => {
                assert_eq!(refused.ran(), v1::Ran::Unknown);
                assert_eq!(sum_counts(&tier, "recibos", |c| c.arrived), before);
            }
        }
        let repeats = join_all((0..7).map(|index| send_once(&tier, index, &id, "receipt"))).await;
        assert!(repeats.iter().flatten().all(|a| a.attempts <= 1));
        let runs = sum_counts(&tier, "recibos", |c| c.arrived) - before;
        assert!(runs <= 1, "request {id} ran {runs} times");
    }
}

#[tokio::test(start_paused = true)]
async fn crash_repeated_at_every_entry_hits_at_most_two_targets() {
    let tier = Tier::start().await;
    change_settings(&tier, "lotes", |s| s.crash = Some(CRASHING_QUERY.into()));
    for round in 0..3 {
        for index in 0..7 {
            let refused = search(&tier, index, CRASHING_QUERY).await.unwrap_err();
            if round > 0 {
                assert_eq!(refused.kind, "suspect");
                assert_eq!(refused.ran(), v1::Ran::NotRun);
            }
        }
    }
    assert!(sum_counts(&tier, "lotes", |c| c.crashes) <= 2);
    let marked = tier.node(3).owner.suspects().list();
    assert_eq!((marked.len(), marked[0].crashes), (1, 2));
    let fingerprint = marked[0].fingerprint;
    tier.node(5).owner.suspects().clear(fingerprint);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for index in 0..7 {
        assert!(tier.node(index).owner.suspects().list().is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn refusal_without_targets_is_prompt_and_not_run() {
    let tier = Tier::start().await;
    change_settings(&tier, "recibos", |s| s.warmth = Warmth::Draining);
    let start = Instant::now();
    let request = v1::PoolRequest {
        service: "recibos".to_owned(),
        deadline_ms: 1_000,
        ..v1::PoolRequest::default()
    };
    let refused = tier.node(0).entry.request(request).await.unwrap_err();
    assert_eq!(refused.ran(), v1::Ran::NotRun, "{refused:?}");
    assert!(refused.retry_ms > 0);
    assert!(start.elapsed() < Duration::from_millis(500));
}

#[tokio::test(start_paused = true)]
async fn caller_disconnect_releases_its_place() {
    let tier = Tier::start().await;
    change_settings(&tier, "lotes", |s| s.slowness = 100.0);
    let abandoned =
        tokio::time::timeout(Duration::from_millis(50), search(&tier, 0, "kernels")).await;
    assert!(abandoned.is_err());
    assert_eq!(tier.node(0).entry.load().0, 0);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for index in 0..7 {
        let reports = tier.node(index).owner.reports();
        assert!(reports.iter().all(|(_, r)| r.queued == 0), "{reports:?}");
    }
}
