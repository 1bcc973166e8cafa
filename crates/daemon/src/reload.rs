//! Reading the settings anew when they change: on SIGHUP, and when the file
//! differs from what was read last.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use heatherrun_schema::v1::GatewaySettings;
use tokio::signal::unix::Signal;

/// Time between two looks at the file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Hands changed settings to `take`, for ever. A file with a fault changes
/// nothing.
pub async fn run(
    path: PathBuf,
    mut hangups: Signal,
    take: impl Fn(&GatewaySettings) -> anyhow::Result<()>,
) {
    let mut known = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let asked = tokio::select! {
            biased;
            _ = hangups.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => {
                log::warn!(reason:% = e; "settings.unreadable");
                continue;
            }
        };
        if asked || text != known {
            read(&path, &text, &take);
            known = text;
        }
    }
}

fn read(path: &Path, text: &str, take: impl Fn(&GatewaySettings) -> anyhow::Result<()>) {
    let file = path.display().to_string();
    let settings = match heatherrun_settings::read_node(&file, text) {
        Ok(checked) => checked.value,
        Err(e) => {
            log::warn!(reason:% = e; "settings.faulty");
            return;
        }
    };
    let Some(own) = settings.gateway else {
        log::warn!(remedy = "restart the node to change what it serves"; "settings.no-gateway");
        return;
    };
    if let Err(e) = take(&own) {
        log::warn!(reason:% = format!("{e:#}"); "settings.faulty");
    }
}
