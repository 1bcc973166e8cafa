//! `heatherrund`, the daemon that runs on each entry VM.

mod reload;
mod serve;
mod stop;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use anyhow::Context as _;
use heatherrun_daemon::{logging, metrics};
use heatherrun_gateway::gateway::Gateway;
use heatherrun_platform as _;
use heatherrun_ports::serving::Serving;
use heatherrun_report::plugins;
use heatherrun_schema::v1::{GatewaySettings, NodeSettings};
use stop::Signals;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the settings are rejected.
const EXIT_BAD_SETTINGS: u8 = 2;

/// The query tier's daemon. SIGTERM stops it as planned, SIGHUP makes a gateway read its settings anew; it exits with 0 when
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

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.plugins {
        print!("{}", plugins::table());
        return ExitCode::SUCCESS;
    }
    match load_and_run(arguments.settings.as_deref()) {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("heatherrund: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn load_and_run(path: Option<&Path>) -> anyhow::Result<u8> {
    let path = path.context("no settings file; name one, or see heatherrund --help")?;
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .with_context(|| format!("cannot read {file}; name a readable settings file"))?;
    match heatherrun_settings::read_node(&file, &text) {
        Ok(checked) => run(path, checked.value),
        Err(e) => {
            eprintln!("{e}");
            Ok(EXIT_BAD_SETTINGS)
        }
    }
}

fn run(path: &Path, settings: NodeSettings) -> anyhow::Result<u8> {
    logging::start(&settings.name, &settings.log)?;
    // A gateway gets a fraction of one core, where more threads only add overhead.
    let mut runtime = match settings.gateway {
        Some(_) => Builder::new_current_thread(),
        None => Builder::new_multi_thread(),
    };
    let runtime = runtime
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    let exit_code = runtime.block_on(async {
        let signals = Signals::new()?;
        tokio::spawn(logging::report_dropped_lines());
        match settings.gateway.clone() {
            Some(gateway_settings) => run_gateway(path, settings, gateway_settings, signals).await,
            None => run_node(settings, signals).await,
        }
    });
    log::logger().flush();
    exit_code
}

async fn run_gateway(
    path: &Path,
    settings: NodeSettings,
    gateway_settings: GatewaySettings,
    signals: Signals,
) -> anyhow::Result<u8> {
    let hangups = signal(SignalKind::hangup())?;
    let gateway = Gateway::start(&settings, &gateway_settings).await?;
    let reloader = gateway.reloader();
    tokio::spawn(reload::run(
        path.to_owned(),
        hangups,
        move |settings, gateway_settings| reloader.reload(settings, gateway_settings),
    ));
    log::info!(
        domain = settings.domain.as_str(), callers = settings.callers.as_str(),
        peers = settings.peers.as_str(), platform = settings.platform.as_str();
        "gateway.started"
    );
    let drain_requested = std::future::pending();
    let stop = |limit| gateway.stop(limit);
    Ok(stop::wait_and_stop(signals, drain_requested, settings.stop_secs, stop).await)
}

async fn run_node(settings: NodeSettings, signals: Signals) -> anyhow::Result<u8> {
    let (node, serving) = serve::start(&settings).await?;
    log::info!(
        domain = settings.domain.as_str(), callers = settings.callers.as_str(),
        peers = settings.peers.as_str(), operators = settings.operators.as_str(),
        platform = settings.platform.as_str(); "node.started"
    );
    if !settings.metrics.is_empty() {
        let address = settings.metrics.parse().context("metrics")?;
        tokio::spawn(metrics::run(Arc::clone(&node), address));
    }
    let drain_requested = Serving::stop_begun(node);
    let stop = |limit| serving.stop(limit);
    Ok(stop::wait_and_stop(signals, drain_requested, settings.stop_secs, stop).await)
}
