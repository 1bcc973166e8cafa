//! Checks of what the settings of a daemon mean together.

use std::net::SocketAddr;

use heatherrun_schema::v1::NodeSettings;

use crate::shape::Shaped;
use crate::tier::check_name;

/// Levels that a log may have.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Longest time that callers may keep an address answer, in seconds.
const ADDRESS_SECS: u32 = 300;

/// Longest graceful shutdown, in seconds.
const STOP_SECS: u32 = 3_600;

/// Level of a log when the settings name none.
const LEVEL: &str = "info";

/// Time that callers may keep an address answer when the settings name none,
/// in seconds.
const USUAL_ADDRESS_SECS: u32 = 5;

/// Hard limit of a graceful shutdown when the settings name none, in seconds.
const USUAL_STOP_SECS: u32 = 60;

/// Puts the defaults in place of what was left out.
pub(crate) fn fill(mut settings: NodeSettings) -> NodeSettings {
    if settings.log.is_empty() {
        LEVEL.clone_into(&mut settings.log);
    }
    if settings.address_secs == 0 {
        settings.address_secs = USUAL_ADDRESS_SECS;
    }
    if settings.stop_secs == 0 {
        // Callers come for as long as they may keep an address; then work is finished.
        settings.stop_secs = USUAL_STOP_SECS.max(settings.address_secs * 2);
    }
    settings
}

pub(crate) fn check(settings: &NodeSettings, out: &mut Shaped) {
    check_name("name", &settings.name, out);
    check_name("domain", &settings.domain, out);
    let own = [
        ("callers", &settings.callers),
        ("peers", &settings.peers),
        ("operators", &settings.operators),
        ("platform", &settings.platform),
    ];
    for (ix, (key, address)) in own.iter().enumerate() {
        check_address(key, address, out);
        let first = own[..ix].iter().find(|(_, earlier)| earlier == address);
        if let Some((other, _)) = first
            && out.has(key)
        {
            let detail = format!("{address} is also the address of {other:?}");
            out.fault(key, &detail, "give each its own port");
        }
    }
    if !settings.metrics.is_empty() {
        check_address("metrics", &settings.metrics, out);
    }
    if out.has("log") && !LEVELS.contains(&settings.log.as_str()) {
        let detail = format!("no level named {:?}", settings.log);
        out.fault("log", &detail, &format!("use one of {}", LEVELS.join(", ")));
    }
    check_range("address_secs", settings.address_secs, ADDRESS_SECS, out);
    check_range("stop_secs", settings.stop_secs, STOP_SECS, out);
    let both = out.has("address_secs") && out.has("stop_secs");
    if both && settings.stop_secs < settings.address_secs {
        let detail = format!(
            "{} is less than address_secs, {}: callers would find the node gone",
            settings.stop_secs, settings.address_secs
        );
        out.fault("stop_secs", &detail, "raise it above address_secs");
    }
}

fn check_range(key: &str, value: u32, most: u32, out: &mut Shaped) {
    if out.has(key) && !(1..=most).contains(&value) {
        let detail = format!("{value} is out of range");
        out.fault(key, &detail, &format!("write 1 to {most} seconds"));
    }
}

/// Checks that others can connect to `address`.
pub(crate) fn check_address(key: &str, address: &str, out: &mut Shaped) {
    if !out.has(key) {
        return;
    }
    match address.parse::<SocketAddr>() {
        Ok(parsed) if parsed.ip().is_unspecified() => {
            let detail = format!("nothing can connect to {address}");
            out.fault(key, &detail, "write the IP that others connect to");
        }
        Ok(parsed) if parsed.port() == 0 => {
            out.fault(key, "port 0 is no address", "write a port from 1 to 65535");
        }
        Ok(_) => {}
        Err(_) => {
            let detail = format!("{address:?} is no IP and port");
            out.fault(
                key,
                &detail,
                "write it like 10.0.0.1:7001 or [fd00::1]:7001",
            );
        }
    }
}
