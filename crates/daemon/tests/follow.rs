//! The id of a request stands in every line of its way, at the entry and at
//! the owners on other nodes.

mod common;

use std::sync::Arc;

use common::{Lines, Written};
use heatherrun_daemon::logging::bridge;
use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;

const DOMAINS: [&str; 2] = ["wallis", "ticino"];
const SHARDS: u16 = 4;
const ID: &str = "follow-1";

async fn start() -> LocalTier {
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
    let applied = tier.nodes[0].run(async move { node.apply(request).await });
    assert!(applied.await.unwrap().unwrap().accepted);
    tier.settle().await;
    tier
}

/// Events of the lines that carry the id.
fn events(lines: &Written, event: &str) -> usize {
    let lines = lines.lock().unwrap();
    let (event, id) = (format!("event={event} "), format!(" id={ID} "));
    let same = |line: &&String| line.starts_with(&event) && format!("{line} ").contains(&id);
    lines.iter().filter(same).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn search_id_follows_request() {
    let lines = Written::default();
    log::set_boxed_logger(Box::new(bridge(Lines::new(&lines)))).unwrap();
    log::set_max_level(log::LevelFilter::Debug);
    let tier = start().await;
    let node = Arc::clone(&tier.nodes[0].node);
    let ask = v1::SearchRequest {
        service: "buyer-desk".to_owned(),
        query: "apricot kernels".to_owned(),
        id: ID.to_owned(),
        ..v1::SearchRequest::default()
    };
    let searched = tier.nodes[0].run(async move { node.entry.search(ask).await });
    let answer = searched.await.unwrap().unwrap();
    assert_eq!(answer.id, ID);
    assert_eq!(events(&lines, "request.admitted"), 1);
    assert_eq!(events(&lines, "request.answered"), 1);
    let sent = events(&lines, "call.sent");
    assert!(sent >= usize::from(SHARDS), "{sent} calls");
    assert!(sent <= answer.attempts as usize, "{sent} calls");
}
