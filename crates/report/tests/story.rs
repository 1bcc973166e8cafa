//! The story of one request from log lines.

use heatherrun_report::story::{Story, lines, text};
use proptest::prelude::*;

const LOG: &str = r#"
  0.61 front-1 event=call.failed time=100.610 level=info vm=front-1 id=c9 target=i-76 service=s3 reason=First end=Lost status=0 took_us=400628
event=target.lapsed time=99.500 level=info vm=front-2 target=i-76 revision=70 gone=true
event=config.in-force time=98.000 level=info vm=front-1 version=2 revision=9
event=config.in-force time=98.000 level=info vm=front-2 version=2 revision=9
event=request.partial time=100.640 level=info vm=front-1 id=c9 route=r-a version=2 shards=10 calls=12 hedges=2 missing="s3:lost,s4:late,s7:late" took_us=67239
event=request.failed time=100.700 level=info vm=front-1 id=d1 route=r-b version=2 shards=1 calls=1 hedges=0 missing=one:no-room not_run=true cause=no-room left_us=1485000 took_us=16000
not a line of ours
event=node.live time=100.1 level=info vm=front-3 node=front-9 revevent=store.lost time=99.0 level=warn vm=front-1 reason="no answer"
event=item.unreadable time=1.0 level=warn vm=front-1 key="servers/\"x\"" why="no service = none"
"#;

fn story(id: &str) -> Option<Story> {
    let all: Vec<_> = lines(LOG).collect();
    Story::of(&all, id)
}

#[test]
fn story_partial_answer_names_missing_shards_and_their_reason() {
    let story = story("c9").unwrap();
    assert_eq!(
        story.outcome.as_deref(),
        Some("answered without some shards")
    );
    let reason = story.reason.as_deref();
    let both = "late: no reply came in time (shards: 2); \
                lost: a connection was lost while a searcher had the call (shards: 1)";
    assert_eq!(reason, Some(both));
    assert_eq!(story.facts["missing"], "s3:lost,s4:late,s7:late");
    let events: Vec<_> = story
        .steps
        .iter()
        .map(|s| (s.after_ms, &*s.event))
        .collect();
    assert_eq!(events, [(0.0, "call.failed"), (30.0, "request.partial")]);
    let around: Vec<_> = story.around.iter().map(|s| (&*s.vm, &*s.event)).collect();
    assert_eq!(
        around,
        [
            ("front-1", "config.in-force"),
            ("front-1", "store.lost"),
            ("front-2", "target.lapsed"),
        ]
    );
}

#[test]
fn story_refusal_says_that_nothing_ran() {
    let story = story("d1").unwrap();
    assert_eq!(story.may_have_run, Some(false));
    assert!(story.reason.as_ref().unwrap().starts_with("no-room: "));
    let text = text(&story);
    assert!(text.contains("request d1: not answered\n"), "{text}");
    assert!(text.contains("run: not run\n"), "{text}");
}

/// A request refused since all searchers wanted quiet, and one that was lost at
/// a searcher which said that it leaves.
const TROUBLE: &str = "
event=target.quiet time=50.100 level=info vm=front-1 id=q1 target=i-1 service=one wanted_us=4000000
event=request.failed time=50.200 level=info vm=front-1 id=q2 route=r-b version=2 shards=1 calls=0 hedges=0 missing=one:quiet not_run=true cause=quiet left_us=1485000 took_us=90
event=target.leaving time=60.000 level=info vm=front-1 target=i-2 service=two
event=call.failed time=60.200 level=info vm=front-1 id=q3 target=i-2 service=two reason=First end=Lost status=0 took_us=3000
event=request.failed time=60.201 level=info vm=front-1 id=q3 route=r-c version=2 shards=1 calls=1 hedges=0 missing=two:lost not_run=false cause=lost left_us=1485000 took_us=3100
";

#[test]
fn story_quiet_and_leaving_searchers_are_named() {
    let all: Vec<_> = lines(TROUBLE).collect();
    let quiet = Story::of(&all, "q2").unwrap();
    assert_eq!(quiet.may_have_run, Some(false));
    assert!(
        quiet
            .reason
            .as_ref()
            .unwrap()
            .starts_with("quiet: all searchers")
    );
    let refused = Story::of(&all, "q1").unwrap();
    assert_eq!(&*refused.steps[0].event, "target.quiet");
    let lost = Story::of(&all, "q3").unwrap();
    assert_eq!(lost.may_have_run, Some(true));
    assert!(lost.around.iter().any(|s| &*s.event == "target.leaving"));
}

#[test]
fn story_unknown_id_has_none() {
    assert_eq!(story("e0"), None);
}

#[test]
fn lines_quoted_values_are_read_whole() {
    let last = lines(LOG).last().unwrap();
    let pairs: Vec<_> = last.pairs.iter().map(|(k, v)| (*k, &**v)).collect();
    assert_eq!(
        pairs,
        [("key", "servers/\"x\""), ("why", "no service = none")]
    );
}

proptest! {
    #[test]
    fn lines_any_text_is_read_without_panic(text in "(event=|time=|vm=|id=|[ -~é\n]){0,40}") {
        let all: Vec<_> = lines(&text).collect();
        let _ = Story::of(&all, "1");
    }
}

#[test]
fn story_unauthorized_request_names_the_fault_of_its_key() {
    let log =
        "event=request.unauthorized time=1.0 level=info vm=front-1 id=k1 route=r-a cause=unknown";
    let all: Vec<_> = lines(log).collect();
    let story = Story::of(&all, "k1").unwrap();
    let outcome = story.outcome.as_deref();
    assert_eq!(outcome, Some("refused: its key does not authenticate it"));
    assert!(story.reason.unwrap().starts_with("unknown: 401"));
}
