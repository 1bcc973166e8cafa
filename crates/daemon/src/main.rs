//! `heatherrund`, the daemon that runs on each entry VM.

mod serve;
mod stop;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context as _;
use heatherrun_daemon::{logging, metrics};
use heatherrun_report::plugins;
use heatherrun_schema::v1::NodeSettings;

/// Exit code when the settings hold a fault.
const BAD_SETTINGS: u8 = 2;

/// The query tier's daemon. SIGTERM stops it as planned; it exits with 0 when
/// nothing was cut, 1 when it cannot start, 2 when its settings hold a fault, 3 when `stop_secs` passed
/// first, 4 on a second signal.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file of this node, in JSON with comments
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// list the plug-ins linked into this program, and end
    #[argh(switch)]
    plugins: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.plugins {
        print!("{}", plugins::table());
        return ExitCode::SUCCESS;
    }
    match start(arguments.settings.as_deref()).await {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("heatherrund: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn start(path: Option<&Path>) -> anyhow::Result<u8> {
    let path = path.context("no settings file; name one, or see heatherrund --help")?;
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .with_context(|| format!("cannot read {file}; name a readable settings file"))?;
    match heatherrun_settings::read_node(&file, &text) {
        Ok(checked) => run(checked.value).await,
        Err(e) => {
            eprintln!("{e}");
            Ok(BAD_SETTINGS)
        }
    }
}

async fn run(settings: NodeSettings) -> anyhow::Result<u8> {
    logging::start(&settings.name, &settings.log)?;
    let (node, serving) = serve::start(&settings).await?;
    log::info!(
        domain = settings.domain.as_str(), callers = settings.callers.as_str(),
        peers = settings.peers.as_str(), operators = settings.operators.as_str(),
        platform = settings.platform.as_str(); "node.started"
    );
    if !settings.metrics.is_empty() {
        let address = settings.metrics.parse().context("metrics")?;
        tokio::spawn(metrics::run(node, address));
    }
    stop::wait(serving, settings.stop_secs).await
}
