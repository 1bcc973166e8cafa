//! Counters and latencies as they are fetched.

use std::time::Duration;

use heatherrun_gateway::metrics::{Called, Metrics};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::scatter::{CallEnd, Reason};

const TOOK: Duration = Duration::from_millis(30);

fn text(metrics: &Metrics) -> String {
    String::from_utf8(metrics.text()).unwrap()
}

#[test]
fn metrics_tell_requests_by_route_outcome_and_reason() {
    let metrics = Metrics::default();
    let route = Name::from("lots");
    metrics.answered(&route, TOOK, 0);
    metrics.answered(&route, TOOK, 2);
    metrics.failed(&route, true, "no-room");
    metrics.turned_away("unready");
    let text = text(&metrics);
    for line in [
        "heatherrun_requests_total{outcome=\"whole\",reason=\"\",route=\"lots\"} 1",
        "heatherrun_requests_total{outcome=\"partial\",reason=\"\",route=\"lots\"} 1",
        "heatherrun_requests_total{outcome=\"not-run\",reason=\"no-room\",route=\"lots\"} 1",
        "heatherrun_requests_total{outcome=\"not-run\",reason=\"unready\",route=\"\"} 1",
        "heatherrun_answer_seconds_bucket{route=\"lots\",le=\"0.04\"} 2",
    ] {
        assert!(text.contains(line), "{line} in\n{text}");
    }
}

#[test]
fn metrics_tell_calls_by_service_domain_end_and_reason() {
    let metrics = Metrics::default();
    let service = Name::from("shard-3");
    let call = Called {
        service: &service,
        domain: "near-a",
        end: CallEnd::Part,
        reason: Reason::First,
        took: TOOK,
    };
    metrics.called(&call);
    metrics.called(&Called {
        end: CallEnd::Lost,
        reason: Reason::Hedge,
        ..call
    });
    let text = text(&metrics);
    let lost = "domain=\"near-a\",end=\"lost\",reason=\"hedge\",service=\"shard-3\"} 1";
    assert!(text.contains(lost), "{text}");
    assert!(text.contains("heatherrun_reply_seconds_count{domain=\"near-a\"} 1"));
}

#[test]
fn metrics_names_past_the_bound_share_one_series() {
    let metrics = Metrics::default();
    for n in 0..1_000 {
        metrics.failed(&Name::from(format!("r-{n}")), false, "late");
    }
    let text = text(&metrics);
    assert_eq!(text.matches("heatherrun_requests_total{").count(), 301);
    assert!(text.contains("route=\"other\"} 700"), "{text}");
}
