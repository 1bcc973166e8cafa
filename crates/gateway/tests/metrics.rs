//! Metrics in the text that a scrape returns.

use std::time::Duration;

use heatherrun_gateway::metrics::{Admission, CallSample, Metrics};
use heatherrun_kernel::routes::Name;
use heatherrun_routing::scatter::{CallEnd, Reason};

const ELAPSED: Duration = Duration::from_millis(30);

fn encoded_text(metrics: &Metrics) -> String {
    String::from_utf8(metrics.encode()).unwrap()
}

#[test]
fn metrics_count_requests_by_route_outcome_and_reason() {
    let metrics = Metrics::default();
    let route = Name::from("lots");
    metrics.record_answer(&route, ELAPSED, 0);
    metrics.record_answer(&route, ELAPSED, 2);
    metrics.record_failure(&route, true, "no-room");
    metrics.record_rejection("unready");
    let text = encoded_text(&metrics);
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
fn record_call_counts_by_service_domain_end_and_reason() {
    let metrics = Metrics::default();
    let service = Name::from("shard-3");
    let call = CallSample {
        service: &service,
        domain: "near-a",
        end: CallEnd::Part,
        reason: Reason::First,
        elapsed: ELAPSED,
    };
    metrics.record_call(&call);
    metrics.record_call(&CallSample {
        end: CallEnd::Lost,
        reason: Reason::Hedge,
        ..call
    });
    let text = encoded_text(&metrics);
    let lost_call = "domain=\"near-a\",end=\"lost\",reason=\"hedge\",service=\"shard-3\"} 1";
    assert!(text.contains(lost_call), "{text}");
    assert!(text.contains("heatherrun_reply_seconds_count{domain=\"near-a\"} 1"));
}

#[test]
fn record_failure_names_beyond_limit_share_one_series() {
    let metrics = Metrics::default();
    for n in 0..1_000 {
        metrics.record_failure(&Name::from(format!("r-{n}")), false, "late");
    }
    let text = encoded_text(&metrics);
    assert_eq!(text.matches("heatherrun_requests_total{").count(), 301);
    assert!(text.contains("route=\"other\"} 700"), "{text}");
}

#[test]
fn record_admission_counts_by_priority() {
    let metrics = Metrics::default();
    metrics.record_admission(0, Admission::Started);
    for priority in [4, 250] {
        metrics.record_admission(priority, Admission::Refused);
    }
    metrics.add_waiting(1, 1);
    let text = encoded_text(&metrics);
    for line in [
        "heatherrun_admissions_total{outcome=\"started\",priority=\"0\"} 1",
        "heatherrun_admissions_total{outcome=\"refused\",priority=\"4+\"} 2",
        "heatherrun_waiting_requests{priority=\"1\"} 1",
    ] {
        assert!(text.contains(line), "{line} in\n{text}");
    }
}
