//! Causes to which missed objectives are attributed, from a table, and the
//! metrics of refused requests.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherrun_kernel::message::{Failure, Ran};
use heatherrun_kernel::{Revision, ShardIx, Time, View};
use heatherrun_policy::query::{Merged, Missing, Verdict};
use heatherrun_schema::v1;
use heatherrun_tier::outcome::{EarlyRefusal, EndedRequest, Metric, Outcomes};

const TABLE: &str = include_str!("cases/causes.txt");
const SERVICE: &str = "buyer-desk";
const NOW: Time = Time::from_millis(1_000);

fn sample_view() -> View {
    let searcher = |name: &str, domain: &str| v1::Searcher {
        name: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        domain: domain.to_owned(),
        slots: 2,
        connections: 8,
    };
    let shard = |index| v1::Shard {
        index,
        replicas: vec![
            searcher(&format!("a{index}"), "wallis"),
            searcher(&format!("b{index}"), "ticino"),
        ],
    };
    let sharded = v1::Sharded {
        shards: vec![shard(0), shard(1)],
    };
    let mut view = View::default();
    let domains = ["wallis", "ticino"].map(|name| v1::FailureDomain {
        name: name.to_owned(),
        ..v1::FailureDomain::default()
    });
    view.set_domains(&domains, Revision(1));
    let service = v1::Service {
        name: SERVICE.to_owned(),
        kind: Some(v1::service::Kind::Sharded(sharded)),
        limits: None,
        objectives: Some(v1::Objectives {
            latency_ms: 110,
            latency_ppm: 990_000,
            coverage_ppm: 999_000,
            served_ppm: 999_000,
        }),
    };
    view.add_service(&service, Revision(1));
    view
}

fn parse_failure(name: &str) -> Failure {
    match name {
        "TimedOut" => Failure::TimedOut,
        "DomainOut" => Failure::DomainOut,
        "Busy" => Failure::Busy,
        other => panic!("unknown failure {other:?} in causes.txt"),
    }
}

/// Parses `answer REACHED/TOTAL MS [SHARD:FAILURE]` or `refused RAN FAILURE`.
fn parse_verdict(text: &str) -> (Verdict, Duration) {
    let words: Vec<_> = text.split_whitespace().collect();
    if words[0] == "refused" {
        let ran = if words[1] == "NotRun" {
            Ran::NotRun
        } else {
            Ran::Unknown
        };
        let refused = Verdict::Refused {
            ran,
            failure: parse_failure(words[2]),
            coverage: (0, 2),
        };
        return (refused, Duration::from_millis(100));
    }
    let (covered_shards, total) = words[1].split_once('/').unwrap();
    let missing = |text: &&str| {
        let (shard, name) = text.split_once(':').unwrap();
        Missing {
            shard: ShardIx(shard.parse().unwrap()),
            failure: parse_failure(name),
        }
    };
    let merged = Merged {
        covered_shards: covered_shards.parse().unwrap(),
        total: total.parse().unwrap(),
        missing: words[3..].iter().map(missing).collect(),
        ..Merged::default()
    };
    let took = Duration::from_millis(words[2].parse().unwrap());
    (Verdict::Answer(merged), took)
}

fn parse_attempt(text: &str) -> v1::Attempt {
    let words: Vec<_> = text.split_whitespace().collect();
    let micros = |millis: &str| millis.parse::<u64>().unwrap() * 1_000;
    v1::Attempt {
        shard: words[0].parse().unwrap(),
        target: words[1].to_owned(),
        owner: "entry-1".to_owned(),
        reason: words[2].to_owned(),
        sent_us: micros(words[3]),
        took_us: micros(words[4]),
        outcome: words[5..].join(" "),
    }
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(';').map(str::trim).filter(|t| !t.is_empty())
}

/// Objective, failure domain, target and cause of each recorded miss; `-` where
/// there is none.
fn recorded_causes(outcomes: &Outcomes, view: &View) -> Vec<String> {
    let service = view.service(SERVICE).unwrap();
    let or_dash = |text: String| {
        if text.is_empty() {
            "-".to_owned()
        } else {
            text
        }
    };
    let causes = outcomes.recorder().burn(NOW, service).causes;
    let columns =
        |c: v1::BurnCause| [c.objective, or_dash(c.domain), or_dash(c.target), c.cause].join(" ");
    causes.into_iter().map(columns).collect()
}

#[test]
fn record_end_causes_match_table() {
    let view = sample_view();
    for line in TABLE.lines().filter(|l| !l.starts_with('#')) {
        let columns: Vec<_> = line.split('|').map(str::trim).collect();
        let [case, end, attempts, expected] = columns[..] else {
            panic!("line {line:?} does not have four columns");
        };
        let (verdict, took) = parse_verdict(end);
        let trace = v1::ExplainAnswer {
            id: case.to_owned(),
            attempts: split_list(attempts).map(parse_attempt).collect(),
            ..v1::ExplainAnswer::default()
        };
        let outcomes = Outcomes::default();
        outcomes.record_end(&EndedRequest {
            now: NOW,
            took,
            service: view.service(SERVICE).unwrap(),
            view: &view,
            verdict: &verdict,
            trace: &trace,
        });
        assert_eq!(
            recorded_causes(&outcomes, &view),
            split_list(expected).collect::<Vec<_>>(),
            "{case}"
        );
    }
}

#[test]
fn record_early_refusal_counts_and_sends_metric() {
    let view = sample_view();
    let outcomes = Outcomes::default();
    let metrics = Arc::new(Mutex::new(Vec::new()));
    let sink_metrics = Arc::clone(&metrics);
    outcomes.send_metrics(Arc::new(move |metric: Metric<'_>| {
        sink_metrics.lock().unwrap().push(format!("{metric:?}"));
    }));
    outcomes.record_early_refusal(&EarlyRefusal {
        now: NOW,
        service: view.service(SERVICE).unwrap(),
        id: "1",
        kind: "shed",
        ran: Ran::NotRun,
    });
    assert_eq!(recorded_causes(&outcomes, &view), ["served - - shed"]);
    let expected = r#"Refused { service: "buyer-desk", kind: "shed", ran: NotRun }"#;
    assert_eq!(*metrics.lock().unwrap(), [expected]);
}
