//! Command-line arguments, declared and parsed with `argh`.

use std::path::PathBuf;

use argh::FromArgs;

use crate::reply::{Exit, Reply};

/// Operator address used when `--node` is not given.
const DEFAULT_NODE: &str = "127.0.0.1:7003";

/// Options of every command. argh accepts them only before the command;
/// [`parse`] also accepts them after it.
const GLOBAL_OPTIONS: [&str; 2] = ["--node", "--json"];

/// Operate a heatherrun tier.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    example = "heatherrun --node 10.0.0.1:7003 --node 10.0.1.1:7003 status",
    note = "--node and --json may also stand after the command.",
    error_code(0, "done"),
    error_code(1, "the tier refused the call"),
    error_code(2, "the command line or a file holds a fault; nothing was changed"),
    error_code(3, "no node was reached"),
    error_code(4, "accepted, but not in force on every node within --wait"),
    error_code(5, "the answer is lost; the call may have taken effect"),
    error_code(6, "no line names the request")
)]
pub struct Arguments {
    /// operator address of a node, as IP:port; several are tried in turn
    #[argh(option)]
    pub node: Vec<String>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// command
    #[argh(subcommand)]
    pub command: Command,
}

/// The command to run, with its arguments.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
#[allow(missing_docs)]
pub enum Command {
    Check(Check),
    Apply(Apply),
    Status(Status),
    Services(Services),
    Shards(Shards),
    Limits(Limits),
    Nodes(Nodes),
    Targets(Targets),
    History(History),
    Diff(Diff),
    Domain(Domain),
    Drain(Drain),
    Explain(Explain),
    Burn(Burn),
    Marks(Marks),
    Plugins(Plugins),
    Why(Why),
}

/// Check a settings file of a node or a tier; list every fault with file, line, key and remedy.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "heatherrun check examples/kernwerk.jsonc"
)]
pub struct Check {
    /// settings file, in JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
}

/// Write the configuration of the tier.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "heatherrun apply tier.jsonc --base 12 --dry-run\nheatherrun apply tier.jsonc --base 12 --wait 19"
)]
pub struct Apply {
    /// configuration file, in JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the file is based on, as `heatherrun status` shows it; 0 for the first one
    #[argh(option, default = "0")]
    pub base: u64,
    /// show what would change and write nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// seconds to wait until the revision is in force on every node
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Show the state of the tier as one node sees it.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "heatherrun status")]
pub struct Status {}

/// Show the services.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "services", example = "heatherrun services")]
pub struct Services {}

/// Show the shards of sharded services with their replicas.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "shards", example = "heatherrun shards buyer-desk")]
pub struct Shards {
    /// service; all of them when left out
    #[argh(positional)]
    pub service: Option<String>,
}

/// Show the limits and objectives of services.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "limits", example = "heatherrun limits")]
pub struct Limits {}

/// Show the nodes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "nodes", example = "heatherrun nodes")]
pub struct Nodes {}

/// Show the targets with their owners and load.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "targets",
    example = "heatherrun targets buyer-desk"
)]
pub struct Targets {
    /// service; all of them when left out
    #[argh(positional)]
    pub service: Option<String>,
}

/// Show the accepted changes of the configuration.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "history", example = "heatherrun history")]
pub struct History {}

/// Show what changed since a revision.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "diff", example = "heatherrun diff 12")]
pub struct Diff {
    /// revision to compare with the newest one
    #[argh(positional)]
    pub from: u64,
}

/// Take a failure domain out or bring it back.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "domain",
    example = "heatherrun domain out ticino --dry-run\nheatherrun domain in ticino --wait 19"
)]
pub struct Domain {
    /// where it goes: "out" or "in"
    #[argh(positional, from_str_fn(parse_direction))]
    pub direction: Direction,
    /// failure domain
    #[argh(positional)]
    pub name: String,
    /// show the capacity that would be left and write nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// seconds to wait until the change is in force on every node
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Whether a failure domain is taken out of service or brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Out of service: it gets no new requests.
    Out,
    /// Back in service.
    In,
}

fn parse_direction(word: &str) -> Result<Direction, String> {
    match word {
        "out" => Ok(Direction::Out),
        "in" => Ok(Direction::In),
        other => Err(format!("{other:?} is neither \"out\" nor \"in\"")),
    }
}

/// Start the graceful shutdown of one node.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain", example = "heatherrun drain entry-3")]
pub struct Drain {
    /// node, as `heatherrun nodes` names it
    #[argh(positional)]
    pub name: String,
}

/// Show how one recent query went: its attempts with owners, targets and times.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "heatherrun explain 5f3a90c2-17"
)]
pub struct Explain {
    /// id of the query, as its answer names it
    #[argh(positional)]
    pub id: String,
}

/// Show service-level burn, added over all nodes that can be reached.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "burn",
    example = "heatherrun --node 10.0.0.1:7003 --node 10.0.1.1:7003 burn --html burn.html"
)]
pub struct Burn {
    /// service; all of them when left out
    #[argh(positional)]
    pub service: Option<String>,
    /// write one self-contained page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Show the requests suspected of crashing targets, or clear one.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "marks",
    example = "heatherrun marks\nheatherrun marks --clear 9f1c04d2aa37e610"
)]
pub struct Marks {
    /// fingerprint to clear
    #[argh(option)]
    pub clear: Option<String>,
}

/// Show the plug-ins linked into this program.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "plugins", example = "heatherrun plugins")]
pub struct Plugins {}

/// Tell from log lines what became of one request, and why; calls no node.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    subcommand,
    name = "why",
    example = "heatherrun why 735170e573b98e95 front-1.log front-2.log\ncat *.log | heatherrun why 735170e573b98e95 --json"
)]
pub struct Why {
    /// id of the request, as its caller named it
    #[argh(positional)]
    pub id: String,
    /// files of log lines, of any nodes; standard input when left out
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Parses the command-line arguments after the program's name.
///
/// # Errors
/// The reply to print when the arguments request help or are invalid.
pub fn parse(args: &[String]) -> Result<Arguments, Reply> {
    let args = global_options_first(args);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let mut arguments = match Arguments::from_args(&["heatherrun"], &args) {
        Ok(arguments) => arguments,
        Err(early_exit) if early_exit.status.is_ok() => {
            return Err(Reply::done(early_exit.output + "\n"));
        }
        Err(early_exit) => {
            let usage_error = format!(
                "{}\nRun heatherrun --help for the commands.\n",
                early_exit.output.trim_end()
            );
            return Err(Reply::failed(Exit::BadInput, usage_error));
        }
    };
    if arguments.node.is_empty() {
        arguments.node.push(DEFAULT_NODE.to_owned());
    }
    Ok(arguments)
}

/// Moves the global options before the command.
fn global_options_first(args: &[String]) -> Vec<String> {
    let (mut global, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        if !GLOBAL_OPTIONS.contains(&arg.as_str()) {
            rest.push(arg.clone());
            continue;
        }
        global.push(arg.clone());
        if arg == "--node" {
            global.extend(args.next().cloned());
        }
    }
    global.append(&mut rest);
    global
}
