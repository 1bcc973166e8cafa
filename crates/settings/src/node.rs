//! Validates the settings of a daemon and fills in their defaults.

use std::{net::SocketAddr, ops::RangeInclusive};

use heatherrun_schema::v1::NodeSettings;

use crate::document::Document;
use crate::tier::check_name;

/// Log levels that the settings may name.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Maximum time for which callers may cache an answer to an address query.
const MAX_ADDRESS_SECS: u32 = 300;

/// Maximum duration of a graceful shutdown.
const MAX_STOP_SECS: u32 = 3_600;

/// Log level used when the settings name none.
const DEFAULT_LOG_LEVEL: &str = "info";

/// Time for which callers may cache an answer to an address query, used when
/// the settings name none.
const DEFAULT_ADDRESS_SECS: u32 = 5;

/// Hard limit of a graceful shutdown, used when the settings name none.
const DEFAULT_STOP_SECS: u32 = 60;

/// Memory that a process may use at least and at most, in MB.
const MEMORY_MB: RangeInclusive<u32> = 64..=1_048_576;

/// File descriptors that a process may have open at least and at most.
const MAX_FDS: RangeInclusive<u32> = 256..=1_048_576;

/// Memory that a process may use when the settings name none, in MB.
const DEFAULT_MEMORY_MB: u32 = 256;

/// File descriptors that a process may have open when the settings name none.
const DEFAULT_MAX_FDS: u32 = 4_096;

/// Sets the fields that were left out to their defaults.
pub(crate) fn fill_defaults(mut settings: NodeSettings) -> NodeSettings {
    if settings.log.is_empty() {
        DEFAULT_LOG_LEVEL.clone_into(&mut settings.log);
    }
    if settings.address_secs == 0 {
        settings.address_secs = DEFAULT_ADDRESS_SECS;
    }
    if settings.memory_mb == 0 {
        settings.memory_mb = DEFAULT_MEMORY_MB;
    }
    if settings.max_fds == 0 {
        settings.max_fds = DEFAULT_MAX_FDS;
    }
    if settings.stop_secs == 0 {
        // Callers keep connecting until their cached addresses expire; the
        // remaining time is for finishing requests in flight.
        settings.stop_secs = DEFAULT_STOP_SECS.max(settings.address_secs * 2);
    }
    settings
}

pub(crate) fn check(settings: &NodeSettings, document: &mut Document) {
    check_name("name", &settings.name, document);
    check_name("domain", &settings.domain, document);
    let addresses = [
        ("callers", &settings.callers),
        ("peers", &settings.peers),
        ("operators", &settings.operators),
        ("platform", &settings.platform),
    ];
    for (ix, (key, address)) in addresses.iter().enumerate() {
        check_address(key, address, document);
        let duplicate = addresses[..ix]
            .iter()
            .find(|(_, earlier)| earlier == address);
        if let Some((other, _)) = duplicate
            && document.contains(key)
        {
            let detail = format!("{address} is also the address of {other:?}");
            document.add_error(key, &detail, "give each its own port");
        }
    }
    if !settings.metrics.is_empty() {
        check_address("metrics", &settings.metrics, document);
    }
    if document.contains("log") && !LOG_LEVELS.contains(&settings.log.as_str()) {
        let detail = format!("no level named {:?}", settings.log);
        document.add_error(
            "log",
            &detail,
            &format!("use one of {}", LOG_LEVELS.join(", ")),
        );
    }
    for (key, value, range, unit) in [
        (
            "address_secs",
            settings.address_secs,
            1..=MAX_ADDRESS_SECS,
            "seconds",
        ),
        (
            "stop_secs",
            settings.stop_secs,
            1..=MAX_STOP_SECS,
            "seconds",
        ),
        ("memory_mb", settings.memory_mb, MEMORY_MB, "MB"),
        ("max_fds", settings.max_fds, MAX_FDS, "descriptors"),
    ] {
        if document.contains(key) && !range.contains(&value) {
            let detail = format!("{value} is out of range");
            let (min, max) = (range.start(), range.end());
            document.add_error(key, &detail, &format!("write {min} to {max} {unit}"));
        }
    }
    let both_valid = document.contains("address_secs") && document.contains("stop_secs");
    if both_valid && settings.stop_secs < settings.address_secs {
        let detail = format!(
            "{} is less than address_secs, {}: callers would still connect after the node has exited",
            settings.stop_secs, settings.address_secs
        );
        document.add_error("stop_secs", &detail, "raise it above address_secs");
    }
}

/// Checks that `address` is an IP address and port that others can connect to.
pub(crate) fn check_address(key: &str, address: &str, document: &mut Document) {
    if !document.contains(key) {
        return;
    }
    match address.parse::<SocketAddr>() {
        Ok(parsed) if parsed.ip().is_unspecified() => {
            let detail = format!("nothing can connect to {address}");
            document.add_error(key, &detail, "write the IP address that others connect to");
        }
        Ok(parsed) if parsed.port() == 0 => {
            document.add_error(
                key,
                "port 0 is not a valid port",
                "write a port from 1 to 65535",
            );
        }
        Ok(_) => {}
        Err(_) => {
            let detail = format!("{address:?} is no IP and port");
            document.add_error(
                key,
                &detail,
                "write it like 10.0.0.1:7001 or [fd00::1]:7001",
            );
        }
    }
}
