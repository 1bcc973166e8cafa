//! `heatherrund`, the daemon that runs on each entry VM.

mod serve;
mod stop;

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use heatherrun_schema::v1::NodeSettings;

/// The query tier's daemon. SIGTERM stops it as planned; it exits with 0 when
/// nothing was cut, 3 when `stop_secs` passed first, 4 on a second signal.
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
    run(heatherrun_settings::read(&file, &text)?).await
}

async fn run(settings: NodeSettings) -> anyhow::Result<ExitCode> {
    let (_node, serving) = serve::start(&settings).await?;
    let code = stop::wait(serving, settings.stop_secs).await?;
    Ok(ExitCode::from(code))
}
