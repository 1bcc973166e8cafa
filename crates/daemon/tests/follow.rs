//! The id of a request is in every log line about it, at the entry node and at
//! the target owners on other nodes.

mod common;

use std::sync::Arc;

use common::{MemoryAppender, SharedLines};
use heatherrun_daemon::logging::log_bridge;
use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;

const DOMAINS: [&str; 2] = ["wallis", "ticino"];
const SHARDS: u16 = 4;
const REQUEST_ID: &str = "follow-1";

async fn start_tier() -> LocalTier {
    let mut tier = LocalTier::start().await.unwrap();
    let settings = Settings::default();
    let service = tier.add_sharded("buyer-desk", SHARDS, &DOMAINS, &settings);
    let service = service.await.unwrap();
    for (n, domain) in DOMAINS.iter().enumerate() {
        tier.add_node(&format!("entry-{n}"), domain).await.unwrap();
    }
    let domain = |name: &str| v1::FailureDomain {
        name: name.to_owned(),
        region: "alps".to_owned(),
        out: false,
    };
    let request = v1::ApplyRequest {
        config: Some(v1::TierConfig {
            domains: DOMAINS.map(domain).to_vec(),
            services: vec![service],
        }),
        ..v1::ApplyRequest::default()
    };
    let node = Arc::clone(&tier.nodes[0].node);
    let apply = tier.nodes[0].run(async move { node.apply(request).await });
    assert!(apply.await.unwrap().unwrap().accepted);
    tier.settle().await;
    tier
}

/// Counts the lines of `event` that have the request id.
fn count_events(lines: &SharedLines, event: &str) -> usize {
    let lines = lines.lock().unwrap();
    let (event, id) = (format!("event={event} "), format!(" id={REQUEST_ID} "));
    let matches = |line: &&String| line.starts_with(&event) && format!("{line} ").contains(&id);
    lines.iter().filter(matches).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn search_logs_request_id() {
    let lines = SharedLines::default();
    log::set_boxed_logger(Box::new(log_bridge(MemoryAppender::new(&lines)))).unwrap();
    log::set_max_level(log::LevelFilter::Debug);
    let tier = start_tier().await;
    let node = Arc::clone(&tier.nodes[0].node);
    let request = v1::SearchRequest {
        service: "buyer-desk".to_owned(),
        query: "apricot kernels".to_owned(),
        id: REQUEST_ID.to_owned(),
        ..v1::SearchRequest::default()
    };
    let search = tier.nodes[0].run(async move { node.entry.search(request).await });
    let answer = search.await.unwrap().unwrap();
    assert_eq!(answer.id, REQUEST_ID);
    assert_eq!(count_events(&lines, "request.admitted"), 1);
    assert_eq!(count_events(&lines, "request.answered"), 1);
    let sent = count_events(&lines, "call.sent");
    assert!(sent >= usize::from(SHARDS), "{sent} calls");
    assert!(sent <= answer.attempts as usize, "{sent} calls");
}
