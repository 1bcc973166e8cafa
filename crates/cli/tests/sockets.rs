//! Runs the operators' client against real nodes on loopback.

use std::{fs, path::Path, sync::Arc, thread};

use heatherrun_cli::{Exit, Reply, Session, args, command, transport};
use heatherrun_fakes::searcher::Settings;
use heatherrun_schema::v1;
use heatherrun_standins::local::LocalTier;

const DOMAINS: [&str; 3] = ["wallis", "ticino", "zurich"];

/// Starts three nodes; writes the configuration of their searchers to `file`.
async fn start_tier(file: &Path) -> LocalTier {
    let mut tier = LocalTier::start().await.unwrap();
    let settings = Settings::default();
    let mut buyer_desk = tier
        .add_sharded("buyer-desk", 2, &DOMAINS, &settings)
        .await
        .unwrap();
    let lot_viewer = tier
        .add_pooled("lot-viewer", &DOMAINS, &settings)
        .await
        .unwrap();
    buyer_desk.objectives = Some(v1::Objectives {
        latency_ms: 110,
        latency_ppm: 990_000,
        coverage_ppm: 999_000,
        served_ppm: 999_000,
    });
    for (n, domain) in DOMAINS.iter().enumerate() {
        tier.add_node(&format!("entry-{n}"), domain).await.unwrap();
    }
    let domain = |name: &str| v1::FailureDomain {
        name: name.to_owned(),
        region: "alps".to_owned(),
        out: false,
    };
    let config = v1::TierConfig {
        domains: DOMAINS.map(domain).to_vec(),
        services: vec![buyer_desk, lot_viewer],
    };
    fs::write(file, serde_json::to_string_pretty(&config).unwrap()).unwrap();
    tier
}

/// Runs a command line against all nodes.
async fn run(tier: &LocalTier, line: &str) -> Reply {
    let mut words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    for local in &tier.nodes {
        words.extend(["--node".to_owned(), local.operators.to_string()]);
    }
    let task = tokio::task::spawn_blocking(move || {
        let arguments = args::parse(&words).unwrap();
        let session = Session {
            nodes: arguments.node.clone(),
            send: Box::new(transport::send),
            sleep: Box::new(thread::sleep),
        };
        command::run(&arguments, &session)
    });
    task.await.unwrap()
}

/// Runs a command line that must succeed; returns its standard output.
async fn run_ok(tier: &LocalTier, line: &str) -> String {
    let reply = run(tier, line).await;
    assert_eq!(reply.exit, Exit::Done, "{line}: {reply:?}");
    reply.stdout
}

fn revision_of(text: &str) -> u64 {
    let answer: serde_json::Value = serde_json::from_str(text).unwrap();
    answer["revision"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn run_each_command_against_three_nodes() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (file, page) = (folder.join("tier.jsonc"), folder.join("burn.html"));
    let tier = start_tier(&file).await;
    let apply = format!("apply {} --wait 30", file.display());
    run_ok(&tier, &apply).await;
    tier.settle().await;
    for n in 0..5 {
        let node = Arc::clone(&tier.nodes[0].node);
        let request = v1::SearchRequest {
            service: "buyer-desk".to_owned(),
            query: "apricot kernels".to_owned(),
            id: format!("search-{n}"),
            ..v1::SearchRequest::default()
        };
        let searched = tier.nodes[0].run(async move { node.entry.search(request).await });
        assert!(searched.await.unwrap().is_ok());
    }
    let explained = run_ok(&tier, "explain search-3").await;
    assert!(
        explained.starts_with("query search-3 on snapshot "),
        "{explained}"
    );
    let services = run_ok(&tier, "services").await;
    assert!(services.contains("buyer-desk") && services.contains("lot-viewer"));
    let targets = run_ok(&tier, "targets buyer-desk").await;
    assert_eq!(targets.lines().count(), 7, "{targets}");
    let burn = run_ok(&tier, "burn buyer-desk --json").await;
    let burn: v1::BurnAnswer = serde_json::from_str(&burn).unwrap();
    assert_eq!(burn.nodes.len(), 3);
    assert!(burn.uncounted.is_empty());
    let served = burn.services[0]
        .windows
        .iter()
        .find(|w| w.objective == "served");
    assert_eq!(served.map(|w| (w.good, w.total)), Some((5, 5)));
    run_ok(&tier, &format!("burn --html {}", page.display())).await;
    assert!(fs::read_to_string(&page).unwrap().contains("<svg"));
    assert!(run_ok(&tier, "marks").await.starts_with("no request"));

    let before = revision_of(&run_ok(&tier, "status --json").await);
    let dry_run = run_ok(&tier, "domain out ticino --dry-run").await;
    assert!(dry_run.contains("nothing was written"), "{dry_run}");
    assert_eq!(revision_of(&run_ok(&tier, "status --json").await), before);
    run_ok(&tier, "domain out ticino --wait 30").await;
    let status = run_ok(&tier, "status").await;
    assert!(status.contains("ticino          alps    out"), "{status}");
    assert!(
        !run_ok(&tier, &format!("diff {before}"))
            .await
            .starts_with("nothing")
    );
    assert!(run_ok(&tier, "history").await.lines().count() > 1);

    let stale = run(&tier, &format!("apply {} --base {before}", file.display())).await;
    assert_eq!(stale.exit, Exit::Refused, "{stale:?}");
    let unknown = run(&tier, "domain out nowhere").await;
    assert_eq!(unknown.exit, Exit::Refused, "{unknown:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_invalid_request_is_rejected() {
    let mut tier = LocalTier::start().await.unwrap();
    tier.add_node("entry-0", DOMAINS[0]).await.unwrap();
    let node = tier.nodes[0].operators.to_string();
    let cases = [
        ("{}", "the request holds no configuration"),
        (r#"{"config": {}}"#, "domains: no failure domain"),
        (r#"{"config": {"domans": []}}"#, "unknown field `domans`"),
    ];
    for (body, expected) in cases {
        let node = node.clone();
        let send = move || transport::send(&node, "Apply", body.as_bytes());
        let answer = tokio::task::spawn_blocking(send).await.unwrap();
        let error = answer.unwrap_err().to_string();
        assert!(error.contains(expected), "{body}: {error}");
    }
}
