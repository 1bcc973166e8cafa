//! A tier on real sockets: every node gives the same answer.

use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

async fn start(shards: u16) -> LocalTier {
    let mut tier = LocalTier::start().await.unwrap();
    let service = tier
        .add_sharded("lotes", shards, &DOMAINS, &Settings::default())
        .await
        .unwrap();
    for domain in DOMAINS {
        tier.add_node(&format!("entry-{domain}"), domain)
            .await
            .unwrap();
    }
    let domain = |name: &&str| v1::FailureDomain {
        name: (*name).to_owned(),
        ..v1::FailureDomain::default()
    };
    let config = v1::TierConfig {
        domains: DOMAINS.iter().map(domain).collect(),
        services: vec![service],
    };
    let request = v1::ApplyRequest {
        config: Some(config),
        ..v1::ApplyRequest::default()
    };
    tier.nodes[0].node.apply(request).await.unwrap();
    tier.settle().await;
    tier
}

fn ask() -> v1::SearchRequest {
    v1::SearchRequest {
        service: "lotes".to_owned(),
        query: "kernels".to_owned(),
        deadline_ms: 10_000,
        min_coverage: 100,
        ..v1::SearchRequest::default()
    }
}

#[tokio::test]
async fn search_alike_through_every_node() {
    let tier = start(10).await;
    let mut answers = Vec::new();
    for local in &tier.nodes {
        let answer = local.node.entry.search(ask()).await.unwrap();
        let coverage = answer.coverage.unwrap();
        assert_eq!((coverage.reached, coverage.total), (10, 10));
        answers.push((answer.snapshot, answer.lots));
    }
    assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
}
