//! Runs each command line of a transcript against an operator server with
//! fixed answers, and compares what is printed and the exit codes.

use std::{fmt::Write as _, fs, path::Path};

use heatherrun_cli::{Exit, Reply, Session, args, command};
use heatherrun_schema::CallError;
use heatherrun_schema::v1::{self, Operator};

const TRANSCRIPT: &str = include_str!("expected/transcript.txt");

/// Operator service that answers every call with fixed data.
struct FixedOperator;

fn searcher(name: &str, domain: &str) -> v1::Searcher {
    v1::Searcher {
        name: name.to_owned(),
        address: format!("10.0.0.{}:9000", name.len()),
        domain: domain.to_owned(),
        slots: 3,
        connections: 30,
    }
}

fn services() -> Vec<v1::Service> {
    let shard = |index| v1::Shard {
        index,
        replicas: vec![searcher("bd-a", "wallis"), searcher("bd-bb", "ticino")],
    };
    let sharded = v1::Sharded {
        shards: vec![shard(0), shard(1)],
    };
    let pooled = v1::Pooled {
        searchers: vec![searcher("lv", "wallis")],
    };
    vec![
        v1::Service {
            name: "buyer-desk".to_owned(),
            kind: Some(v1::service::Kind::Sharded(sharded)),
            limits: Some(v1::Limits {
                deadline_ms: 250,
                deadline_max: 2_000,
                extra_percent: 5,
                ..v1::Limits::default()
            }),
            objectives: Some(v1::Objectives {
                latency_ms: 110,
                latency_ppm: 990_000,
                coverage_ppm: 999_500,
                served_ppm: 999_000,
            }),
        },
        v1::Service {
            name: "lot-viewer".to_owned(),
            kind: Some(v1::service::Kind::Pooled(pooled)),
            ..v1::Service::default()
        },
    ]
}

/// Revision 12 in force on `nodes` of three nodes.
fn force(nodes: u32) -> v1::Force {
    let behind = ["entry-3"].iter().take(3 - nodes as usize);
    v1::Force {
        revision: 12,
        nodes,
        total: 3,
        behind: behind.map(|n| (*n).to_owned()).collect(),
    }
}

fn target(name: &str, state: &str) -> v1::TargetStatus {
    v1::TargetStatus {
        service: "buyer-desk".to_owned(),
        name: name.to_owned(),
        domain: "ticino".to_owned(),
        owner: "entry-1".to_owned(),
        epoch: 4,
        state: state.to_owned(),
        in_flight: 2,
        limit: 9,
        slots: 3,
        shard: 1,
        queued: 0,
    }
}

impl Operator for FixedOperator {
    async fn apply(&self, request: v1::ApplyRequest) -> Result<v1::ApplyAnswer, CallError> {
        let accepted = !request.dry_run && request.base == 11;
        Ok(v1::ApplyAnswer {
            accepted,
            revision: if accepted { 12 } else { 11 },
            detail: match (accepted, request.dry_run) {
                (true, _) => String::new(),
                (false, true) => "nothing was written".to_owned(),
                (false, false) => format!("based on {}; read and apply again", request.base),
            },
            changes: vec!["~ service buyer-desk".to_owned()],
            warnings: vec!["zurich holds one replica".to_owned()],
            force: accepted.then(|| force(2)),
        })
    }

    async fn set_domain(&self, request: v1::DomainRequest) -> Result<v1::ApplyAnswer, CallError> {
        if request.domain != "ticino" {
            let reason = format!("no failure domain named {:?}", request.domain);
            return Err(CallError::Refused(reason));
        }
        Ok(v1::ApplyAnswer {
            accepted: !request.dry_run,
            revision: 12,
            changes: vec!["ticino: in -> out".to_owned()],
            warnings: vec!["buyer-desk: 30 of 90 slots leave".to_owned()],
            detail: if request.dry_run {
                "nothing was written".to_owned()
            } else {
                String::new()
            },
            ..v1::ApplyAnswer::default()
        })
    }

    async fn drain(&self, request: v1::DrainRequest) -> Result<v1::DrainAnswer, CallError> {
        Ok(v1::DrainAnswer {
            started: request.node == "entry-1",
            detail: "not offered from now on".to_owned(),
        })
    }

    async fn status(&self, _: v1::StatusRequest) -> Result<v1::StatusAnswer, CallError> {
        let domain = |name: &str, out| v1::FailureDomain {
            name: name.to_owned(),
            region: "alps".to_owned(),
            out,
        };
        let node = |name: &str, state: &str, load| v1::NodeStatus {
            name: name.to_owned(),
            domain: "wallis".to_owned(),
            callers: "10.0.9.1:7001".to_owned(),
            state: state.to_owned(),
            revision: 12,
            load,
        };
        Ok(v1::StatusAnswer {
            node: "entry-1".to_owned(),
            revision: 12,
            domains: vec![domain("wallis", false), domain("ticino", true)],
            services: services(),
            nodes: vec![node("entry-1", "live", 41), node("entry-2", "leaving", 3)],
            targets: vec![target("bd-a", "warm"), target("bd-bb", "cold")],
            view_age_ms: 120,
            force: Some(force(2)),
        })
    }

    async fn explain(&self, request: v1::ExplainRequest) -> Result<v1::ExplainAnswer, CallError> {
        let attempt = |shard, reason: &str, outcome: &str| v1::Attempt {
            shard,
            target: "bd-a".to_owned(),
            owner: "entry-2".to_owned(),
            reason: reason.to_owned(),
            sent_us: 180,
            took_us: 41_250,
            outcome: outcome.to_owned(),
        };
        Ok(v1::ExplainAnswer {
            found: request.id == "5f3a-17",
            id: request.id,
            snapshot: 7,
            took_us: 43_900,
            attempts: vec![
                attempt(0, "first", "ok"),
                attempt(1, "first", "cancelled"),
                attempt(1, "hedge", "ok"),
            ],
        })
    }

    async fn history(&self, request: v1::HistoryRequest) -> Result<v1::HistoryAnswer, CallError> {
        if request.from == 11 {
            let diff = vec!["- out: false".to_owned(), "+ out: true".to_owned()];
            return Ok(v1::HistoryAnswer {
                diff,
                ..v1::HistoryAnswer::default()
            });
        }
        let change = |revision, summary: &str| v1::Change {
            revision,
            summary: summary.to_owned(),
            unix_ms: 1_796_342_399_000 + revision * 1_000,
        };
        Ok(v1::HistoryAnswer {
            changes: vec![change(11, "service buyer-desk"), change(12, "ticino out")],
            ..v1::HistoryAnswer::default()
        })
    }

    async fn burn(&self, request: v1::BurnRequest) -> Result<v1::BurnAnswer, CallError> {
        let window = |window_secs, good| v1::BurnWindow {
            objective: "latency".to_owned(),
            window_secs,
            covered_secs: window_secs.min(600),
            good,
            total: 1_000,
            burn_rate: 15.0,
            budget_left: -14.0,
            target_ppm: 990_000,
        };
        let cause = v1::BurnCause {
            objective: "latency".to_owned(),
            domain: "ticino".to_owned(),
            target: "bd-bb".to_owned(),
            cause: "straggler".to_owned(),
            count: 140,
            window_secs: 259_200,
        };
        let burn = v1::ServiceBurn {
            service: "buyer-desk".to_owned(),
            windows: vec![window(300, 850), window(3_600, 850), window(259_200, 850)],
            causes: vec![cause],
            series: Vec::new(),
        };
        Ok(v1::BurnAnswer {
            services: vec![burn],
            nodes: vec![v1::BurnNode {
                name: format!("entry-1{}", request.service),
                covered_secs: 600,
            }],
            uncounted: vec!["entry-2".to_owned()],
        })
    }

    async fn marks(&self, request: v1::MarksRequest) -> Result<v1::MarksAnswer, CallError> {
        let mark = v1::Mark {
            fingerprint: "9f1c04d2aa37e610".to_owned(),
            crashes: 2,
            age_ms: 63_000,
        };
        Ok(v1::MarksAnswer {
            cleared: request.clear == mark.fingerprint,
            marks: vec![mark],
        })
    }
}

/// Fake transport: node `down` refuses connections, node `lossy` closes them
/// before it answers, all others answer.
fn send(node: &str, call: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
    match node {
        "down" => Err(CallError::Unreached("down: connection refused".to_owned())),
        "lossy" => Err(CallError::Transport("lossy: connection closed".to_owned())),
        _ => futures::executor::block_on(v1::dispatch(&FixedOperator, call, body)),
    }
}

fn run(line: &str) -> Reply {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let resolve_root = |word: &str| match word.strip_prefix("ROOT/") {
        Some(rest) => root.join(rest).display().to_string(),
        None => word.to_owned(),
    };
    let words: Vec<String> = line.split_whitespace().map(resolve_root).collect();
    let arguments = match args::parse(&words) {
        Ok(arguments) => arguments,
        Err(reply) => return reply,
    };
    let session = Session {
        nodes: arguments.node.clone(),
        send: Box::new(send),
        sleep: Box::new(|_| {}),
    };
    let mut reply = command::run(&arguments, &session);
    let root = format!("{}/", root.display());
    for text in [&mut reply.stdout, &mut reply.stderr] {
        *text = text.replace(&root, "ROOT/");
    }
    reply
}

#[test]
fn run_transcript_matches_file() {
    let mut actual = String::new();
    for line in TRANSCRIPT
        .lines()
        .filter_map(|l| l.strip_prefix("$ heatherrun "))
    {
        let reply = run(line);
        let exit_code = reply.exit as u8;
        let _ = write!(actual, "$ heatherrun {line}\n{}", reply.stdout);
        let mut stderr_lines = reply.stderr.lines();
        let _ = stderr_lines.try_for_each(|line| writeln!(actual, "! {line}"));
        let _ = writeln!(actual, "exit {exit_code}\n");
    }
    let actual_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("transcript.txt");
    fs::write(&actual_file, &actual).unwrap();
    assert!(
        actual == TRANSCRIPT,
        "compare with {}",
        actual_file.display()
    );
}

#[test]
fn help_each_command_has_example() {
    let commands = [
        "check", "apply", "status", "services", "shards", "limits", "nodes", "targets", "history",
        "diff", "domain", "drain", "explain", "burn", "marks", "plugins", "why",
    ];
    for name in commands {
        let reply = run(&format!("{name} --help"));
        assert_eq!(reply.exit, Exit::Done, "{name}");
        let examples = reply.stdout.split("Examples:").nth(1);
        let is_command = |text: &str| text.trim_start().starts_with("heatherrun ");
        assert!(examples.is_some_and(is_command), "{name}: {}", reply.stdout);
    }
}
