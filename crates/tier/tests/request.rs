//! Requests through a whole tier: once-only requests, requests that crash
//! targets, truth and promptness of refusals.

mod common;

use std::time::Duration;

use common::Tier;
use futures::future::join_all;
use heatherrun_kernel::message::Warmth;
use heatherrun_schema::v1;
use tokio::time::Instant;

const POISON: &str = "poison";

type Answer = Result<v1::PoolAnswer, Box<v1::Refusal>>;

fn id(tier: &Tier, random: &str) -> String {
    format!("{}-{random}", tier.node(0).entry.once().unix_ms())
}

async fn once(tier: &Tier, at: usize, id: &str, body: &str) -> Answer {
    let ask = v1::PoolRequest {
        service: "recibos".to_owned(),
        body: body.to_owned(),
        deadline_ms: 1_000,
        id: id.to_owned(),
        once: true,
        ..v1::PoolRequest::default()
    };
    tier.node(at).entry.request(ask).await
}

async fn search(tier: &Tier, at: usize, query: &str) -> Result<v1::SearchAnswer, Box<v1::Refusal>> {
    let ask = v1::SearchRequest {
        service: "lotes".to_owned(),
        query: query.to_owned(),
        deadline_ms: 1_000,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    };
    tier.node(at).entry.search(ask).await
}

/// Sum of one count over the searchers of a service.
fn sum(
    tier: &Tier,
    service: &str,
    count: impl Fn(&heatherrun_fakes::searcher::Counts) -> u64,
) -> u64 {
    let all = tier.mesh.searchers.iter();
    let own = all.filter(|(name, _)| name.starts_with(service));
    own.map(|(_, searcher)| count(&searcher.counts())).sum()
}

fn change(tier: &Tier, service: &str, change: impl Fn(&mut heatherrun_fakes::searcher::Settings)) {
    for (name, searcher) in &tier.mesh.searchers {
        if name.starts_with(service) {
            searcher.change(&change);
        }
    }
}

/// Time past which the records of the partitions reach back long enough for
/// ids issued from then on.
async fn warm_up(tier: &Tier) {
    tokio::time::sleep(Duration::from_secs(5)).await;
    tier.check();
}

#[tokio::test(start_paused = true)]
async fn once_repeat_at_every_entry_runs_once() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let id = id(&tier, "a");
    let first = once(&tier, 0, &id, "receipt").await.unwrap();
    assert!(!first.replayed);
    for at in 0..7 {
        let again = once(&tier, at, &id, "receipt").await.unwrap();
        assert!(again.replayed);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(sum(&tier, "recibos", |c| c.ran), 1);
}

#[tokio::test(start_paused = true)]
async fn once_at_all_entries_together_runs_once() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let id = id(&tier, "b");
    let answers = join_all((0..7).map(|at| once(&tier, at, &id, "receipt"))).await;
    let ran = answers.iter().flatten().filter(|a| !a.replayed).count();
    assert_eq!((ran, sum(&tier, "recibos", |c| c.arrived)), (1, 1));
    for refused in answers.iter().filter_map(|a| a.as_ref().err()) {
        assert_eq!(
            (refused.ran(), refused.kind.as_str()),
            (v1::Ran::Unknown, "pending")
        );
    }
}

#[tokio::test(start_paused = true)]
async fn once_refusals_by_id() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    let now = tier.node(0).entry.once().unix_ms();
    let used = id(&tier, "used");
    once(&tier, 0, &used, "receipt").await.unwrap();
    // Cases: id, kind of the refusal, whether it may have run.
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
        let refused = once(&tier, 1, &id, "another").await.unwrap_err();
        assert_eq!((refused.kind.as_str(), refused.ran()), (kind, ran), "{id}");
        assert!(!refused.remedy.is_empty());
    }
    assert_eq!(sum(&tier, "recibos", |c| c.ran), 1);
}

#[tokio::test(start_paused = true)]
async fn once_lost_call_is_unknown_for_good() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    change(&tier, "recibos", |s| s.crash = Some(POISON.into()));
    let id = id(&tier, "c");
    for at in 0..7 {
        let refused = once(&tier, at, &id, POISON).await.unwrap_err();
        assert_eq!(refused.ran(), v1::Ran::Unknown, "{refused:?}");
    }
    assert_eq!(sum(&tier, "recibos", |c| c.crashes), 1);
}

#[tokio::test(start_paused = true)]
async fn once_cut_off_entry_does_not_run_it() {
    let tier = Tier::start().await;
    warm_up(&tier).await;
    tier.mesh.cut_peers(0, true);
    for round in 0..20 {
        let id = id(&tier, &format!("d{round}"));
        let before = sum(&tier, "recibos", |c| c.arrived);
        match once(&tier, 0, &id, "receipt").await {
            Ok(_) => {}
            Err(refused) => {
                assert_eq!(refused.ran(), v1::Ran::Unknown);
                assert_eq!(sum(&tier, "recibos", |c| c.arrived), before);
            }
        }
        let repeats = join_all((0..7).map(|at| once(&tier, at, &id, "receipt"))).await;
        assert!(repeats.iter().flatten().all(|a| a.attempts <= 1));
        let runs = sum(&tier, "recibos", |c| c.arrived) - before;
        assert!(runs <= 1, "{runs} runs of {id}");
    }
}

#[tokio::test(start_paused = true)]
async fn crash_repeated_everywhere_costs_two_targets() {
    let tier = Tier::start().await;
    change(&tier, "lotes", |s| s.crash = Some(POISON.into()));
    for round in 0..3 {
        for at in 0..7 {
            let refused = search(&tier, at, POISON).await.unwrap_err();
            if round > 0 {
                assert_eq!(refused.kind, "suspect");
                assert_eq!(refused.ran(), v1::Ran::NotRun);
            }
        }
    }
    assert!(sum(&tier, "lotes", |c| c.crashes) <= 2);
    let marked = tier.node(3).owner.suspects().list();
    assert_eq!((marked.len(), marked[0].crashes), (1, 2));
    let print = marked[0].print;
    tier.node(5).owner.suspects().clear(print);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for at in 0..7 {
        assert!(tier.node(at).owner.suspects().list().is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn refusal_without_any_target_is_prompt_and_not_run() {
    let tier = Tier::start().await;
    change(&tier, "recibos", |s| s.warmth = Warmth::Draining);
    let start = Instant::now();
    let ask = v1::PoolRequest {
        service: "recibos".to_owned(),
        deadline_ms: 1_000,
        ..v1::PoolRequest::default()
    };
    let refused = tier.node(0).entry.request(ask).await.unwrap_err();
    assert_eq!(refused.ran(), v1::Ran::NotRun, "{refused:?}");
    assert!(refused.retry_ms > 0);
    assert!(start.elapsed() < Duration::from_millis(500));
}

#[tokio::test(start_paused = true)]
async fn caller_gone_gives_back_its_place() {
    let tier = Tier::start().await;
    change(&tier, "lotes", |s| s.slowness = 100.0);
    let gone = tokio::time::timeout(Duration::from_millis(50), search(&tier, 0, "kernels")).await;
    assert!(gone.is_err());
    assert_eq!(tier.node(0).entry.load().0, 0);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for at in 0..7 {
        let reports = tier.node(at).owner.reports();
        assert!(reports.iter().all(|(_, r)| r.queued == 0), "{reports:?}");
    }
}
