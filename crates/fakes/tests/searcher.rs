//! The searcher counts what it is given past what it bears.

use std::{sync::Arc, time::Duration};

use heatherrun_fakes::searcher::{Cold, Searcher, Settings};
use heatherrun_kernel::message::{CallError, CallKind, CallResult, Failure, TargetCall, Warmth};
use heatherrun_kernel::{CallId, Epoch, MapRev, ServiceId, ShardIx, Snapshot, TargetId};
use tokio::task::JoinHandle;

const SERVICE: Duration = Duration::from_millis(5);

fn call(body: &str) -> TargetCall {
    TargetCall {
        id: CallId::default(),
        target: TargetId(1),
        service: ServiceId(1),
        shard: ShardIx(0),
        kind: CallKind::Search,
        snapshot: Snapshot(1),
        map: MapRev(1),
        epoch: Epoch(1),
        time_left: Duration::from_secs(1),
        body: Arc::from(body.as_bytes()),
    }
}

fn cold() -> Settings {
    Settings {
        warmth: Warmth::Cold,
        service: SERVICE,
        cold: Cold {
            falls: true,
            warm_after: 2,
            ..Cold::default()
        },
        record: true,
        ..Settings::default()
    }
}

async fn send(searcher: &Searcher, body: &str) -> JoinHandle<CallResult> {
    let (searcher, call) = (searcher.clone(), call(body));
    let sent = tokio::spawn(async move { searcher.call(call).await });
    tokio::task::yield_now().await;
    sent
}

#[tokio::test(start_paused = true)]
async fn call_past_warm_bears_is_a_breach() {
    let searcher = Searcher::new(Settings::default());
    let mut sent = Vec::new();
    for _ in 0..7 {
        sent.push(send(&searcher, "a").await);
    }
    let counts = searcher.counts();
    assert_eq!((counts.peak, counts.breaches), (7, 1));
}

#[tokio::test(start_paused = true)]
async fn call_past_cold_bears_loses_all_calls() {
    let searcher = Searcher::new(cold());
    searcher.call(call("told")).await.unwrap();
    tokio::time::sleep(SERVICE).await;
    let first = send(&searcher, "a").await;
    let second = send(&searcher, "b").await;
    let lost = Err(CallError::unknown(Failure::ConnectionLost));
    assert_eq!(first.await.unwrap(), lost);
    assert_eq!(second.await.unwrap(), lost);
    let counts = searcher.counts();
    assert_eq!(
        (counts.breaches, counts.unknowable, counts.falls),
        (1, 0, 1)
    );
    let down = searcher.call(call("c")).await;
    assert_eq!(down, Err(CallError::not_run(Failure::NoConnection)));
}

#[tokio::test(start_paused = true)]
async fn call_before_any_sign_of_a_cold_turn_is_unknowable() {
    let searcher = Searcher::new(cold());
    searcher.chill();
    let _first = send(&searcher, "a").await;
    let _second = send(&searcher, "b").await;
    let counts = searcher.counts();
    assert_eq!((counts.breaches, counts.unknowable), (0, 1));
}

#[tokio::test(start_paused = true)]
async fn call_work_done_warms_up() {
    let searcher = Searcher::new(cold());
    for body in ["a", "b"] {
        assert!(searcher.is_cold());
        searcher.call(call(body)).await.unwrap();
    }
    assert!(!searcher.is_cold());
    assert_eq!(searcher.runs(b"a").started, 1);
}

#[tokio::test(start_paused = true)]
async fn call_of_an_older_epoch_is_not_run() {
    let searcher = Searcher::new(Settings::default());
    let mut newer = call("a");
    newer.epoch = Epoch(2);
    searcher.call(newer).await.unwrap();
    let stale = searcher.call(call("b")).await;
    assert_eq!(stale, Err(CallError::not_run(Failure::StaleEpoch)));
}

#[tokio::test(start_paused = true)]
async fn call_that_crashes_loses_the_others() {
    let searcher = Searcher::new(Settings {
        crash: Some(b"poison".to_vec()),
        ..Settings::default()
    });
    let beside = send(&searcher, "a").await;
    let crashed = searcher.call(call("poison-1")).await;
    let lost = Err(CallError::unknown(Failure::ConnectionLost));
    assert_eq!(crashed, lost);
    assert_eq!(beside.await.unwrap(), lost);
    assert_eq!(searcher.counts().crashes, 1);
}
