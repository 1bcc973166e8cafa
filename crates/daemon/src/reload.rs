//! Reloads the settings of a gateway on SIGHUP, and when the content of the
//! file has changed.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use heatherrun_schema::v1::{GatewaySettings, NodeSettings};
use tokio::signal::unix::Signal;

/// Interval at which the file is checked for changes made without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Passes changed settings to `apply`; never returns. A file with a fault is
/// logged and ignored.
pub async fn run(
    path: PathBuf,
    mut hangups: Signal,
    apply: impl Fn(&NodeSettings, &GatewaySettings) -> anyhow::Result<()>,
) {
    let mut last_text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            biased;
            _ = hangups.recv() => true,
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => false,
        };
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                log::warn!(reason:% = e; "settings.unreadable");
                continue;
            }
        };
        if signalled || text != last_text {
            reload(&path, &text, &apply);
            last_text = text;
        }
    }
}

fn reload(
    path: &Path,
    text: &str,
    apply: impl Fn(&NodeSettings, &GatewaySettings) -> anyhow::Result<()>,
) {
    let file = path.display().to_string();
    let settings = match heatherrun_settings::read_node(&file, text) {
        Ok(checked) => checked.value,
        Err(e) => {
            log::warn!(reason:% = e; "settings.faulty");
            return;
        }
    };
    let Some(gateway_settings) = &settings.gateway else {
        log::warn!(remedy = "restart the node to turn a gateway into a tier node"; "settings.no-gateway");
        return;
    };
    if let Err(e) = apply(&settings, gateway_settings) {
        log::warn!(reason:% = format!("{e:#}"); "settings.faulty");
    }
}
