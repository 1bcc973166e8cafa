//! `heatherrund`, the daemon that runs on each entry VM.

mod serve;
mod stop;

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use heatherrun_daemon::{logging, metrics};
use heatherrun_schema::v1::NodeSettings;

/// Exit code when the settings hold a fault.
const BAD_SETTINGS: u8 = 2;

/// The query tier's daemon. SIGTERM stops it as planned; it exits with 0 when
/// nothing was cut, 2 when its settings hold a fault, 3 when `stop_secs` passed
/// first, 4 on a second signal.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file of this node, in JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let file = arguments.settings.display().to_string();
    let text = fs::read_to_string(&arguments.settings)
        .with_context(|| format!("cannot read {file}; name a readable settings file"))?;
    match heatherrun_settings::read_node(&file, &text) {
        Ok(checked) => run(checked.value).await,
        Err(e) => {
            eprintln!("{e}");
            Ok(ExitCode::from(BAD_SETTINGS))
        }
    }
}

async fn run(settings: NodeSettings) -> anyhow::Result<ExitCode> {
    logging::start(&settings.name, &settings.log)?;
    let (node, serving) = serve::start(&settings).await?;
    if !settings.metrics.is_empty() {
        let address = settings.metrics.parse().context("metrics")?;
        tokio::spawn(metrics::run(node, address));
    }
    let code = stop::wait(serving, settings.stop_secs).await?;
    Ok(ExitCode::from(code))
}
