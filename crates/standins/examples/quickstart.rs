//! Starts stand-ins and three nodes in this process, searches through each,
//! takes a failure domain out and searches again.

use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1::{self, Operator};
use heatherrun_standins::local::LocalTier;

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut tier = LocalTier::start().await?;
    let service = tier
        .add_sharded("buyer-desk", 10, &DOMAINS, &Settings::default())
        .await?;
    for (n, domain) in DOMAINS.iter().enumerate() {
        tier.add_node(&format!("entry-{n}"), domain).await?;
    }
    let domains = DOMAINS.map(|name| v1::FailureDomain {
        name: name.to_owned(),
        region: "alps".to_owned(),
        out: false,
    });
    let config = v1::TierConfig {
        domains: domains.to_vec(),
        services: vec![service],
    };
    let first = &tier.nodes[0].node;
    first
        .apply(v1::ApplyRequest {
            config: Some(config),
            ..v1::ApplyRequest::default()
        })
        .await?;
    tier.settle().await;
    search_all(&tier, "all in").await;
    first
        .set_domain(v1::DomainRequest {
            domain: "ticino".to_owned(),
            out: true,
            dry_run: false,
        })
        .await?;
    tier.settle().await;
    search_all(&tier, "ticino out").await;
    Ok(())
}

async fn search_all(tier: &LocalTier, label: &str) {
    for local in &tier.nodes {
        let ask = v1::SearchRequest {
            service: "buyer-desk".to_owned(),
            query: "apricot kernels".to_owned(),
            ..v1::SearchRequest::default()
        };
        match local.node.entry.search(ask).await {
            Ok(answer) => {
                let coverage = answer.coverage.unwrap_or_default();
                println!(
                    "{label}: {} reached {}/{} snapshot {} attempts {} in {} us",
                    local.node.info.name,
                    coverage.reached,
                    coverage.total,
                    answer.snapshot,
                    answer.attempts,
                    answer.took_us
                );
            }
            Err(refused) => println!("{label}: refused: {refused:?}"),
        }
    }
}
