//! Validates the configuration of a tier.

use std::collections::HashMap;

use heatherrun_schema::v1::{self, TierConfig};

use crate::document::Document;
use crate::searcher::SearcherChecks;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 63;

/// Maximum size of one value in the platform's store.
const MAX_STORED_BYTES: usize = 1_000_000;

/// Size of a stored value above which a warning is reported.
const STORED_BYTES_WARNING: usize = 800_000;

/// Maximum configurable size of a request body.
const MAX_BODY_BYTES: u32 = 256 * 1024;

/// Maximum configurable deadline.
const MAX_DEADLINE_MS: u32 = 600_000;

/// Maximum time for which once-only requests are remembered.
const MAX_ONCE_SECS: u32 = 3_600;

/// Parts per million that make 100%.
const MAX_PPM: u32 = 1_000_000;

pub(crate) fn check(config: &TierConfig, document: &mut Document) {
    check_domains(&config.domains, document);
    let mut names = HashMap::new();
    let mut searchers = SearcherChecks::new(&config.domains);
    for (ix, service) in config.services.iter().enumerate() {
        let path = format!("services[{ix}]");
        let key = format!("{path}.name");
        check_name(&key, &service.name, document);
        check_unique(&key, &service.name, &mut names, document);
        check_kind(service, &path, document);
        searchers.check(service, &path, document);
        check_limits(service, &path, document);
        check_objectives(service, &path, document);
        check_size(service, &path, document);
    }
}

fn check_domains(domains: &[v1::FailureDomain], document: &mut Document) {
    if domains.is_empty() && document.contains("domains") {
        document.add_error("domains", "no failure domains", "declare each of them");
    }
    let mut names = HashMap::new();
    for (ix, domain) in domains.iter().enumerate() {
        let key = format!("domains[{ix}].name");
        check_name(&key, &domain.name, document);
        check_unique(&key, &domain.name, &mut names, document);
        check_name(&format!("domains[{ix}].region"), &domain.region, document);
    }
    if !domains.is_empty() && domains.iter().all(|d| d.out) {
        let remedy = "set \"out\" to false in one of them";
        document.add_warning("domains", "every failure domain is out of service", remedy);
    }
}

/// Checks that `name` can be used in keys, log lines and commands without
/// quoting.
pub(crate) fn check_name(key: &str, name: &str, document: &mut Document) {
    if !document.contains(key) {
        return;
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        let detail = format!("{name:?} is not a valid name");
        let remedy = format!("use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.'");
        document.add_error(key, &detail, &remedy);
    }
}

/// Checks that no earlier key has the same `value`.
pub(crate) fn check_unique(
    key: &str,
    value: &str,
    seen: &mut HashMap<String, String>,
    document: &mut Document,
) {
    if !document.contains(key) {
        return;
    }
    if let Some(earlier) = seen.get(value) {
        let detail = format!("{value:?} is used by {earlier} already");
        document.add_error(key, &detail, "choose another one");
        return;
    }
    seen.insert(value.to_owned(), key.to_owned());
}

fn check_kind(service: &v1::Service, path: &str, document: &mut Document) {
    let sharded = document.contains(&format!("{path}.sharded"));
    let pooled = document.contains(&format!("{path}.pooled"));
    if sharded && pooled {
        let detail = format!("service {:?} has two kinds", service.name);
        document.add_error(path, &detail, "keep one of \"sharded\" and \"pooled\"");
    }
    if !sharded && !pooled {
        let detail = format!("service {:?} has no kind", service.name);
        document.add_error(path, &detail, "add \"sharded\" or \"pooled\"");
    }
}

fn check_limits(service: &v1::Service, path: &str, document: &mut Document) {
    let limits = service.limits.unwrap_or_default();
    let key = |name: &str| format!("{path}.limits.{name}");
    let (default_deadline, max_deadline) = (limits.deadline_ms, limits.deadline_max);
    if max_deadline > 0 && default_deadline > max_deadline {
        let detail = format!("{default_deadline} exceeds deadline_max, {max_deadline}");
        document.add_error(
            &key("deadline_ms"),
            &detail,
            "lower it or raise deadline_max",
        );
    }
    let upper_bounds = [
        ("deadline_ms", default_deadline, MAX_DEADLINE_MS),
        ("deadline_max", max_deadline, MAX_DEADLINE_MS),
        ("extra_percent", limits.extra_percent, 100),
        ("body_bytes", limits.body_bytes, MAX_BODY_BYTES),
        ("once_secs", limits.once_secs, MAX_ONCE_SECS),
    ];
    for (name, value, max) in upper_bounds {
        if value > max {
            let detail = format!("{value} is out of range");
            document.add_error(&key(name), &detail, &format!("write {max} at the most"));
        }
    }
    let deadlines = [
        ("deadline_ms", default_deadline),
        ("deadline_max", max_deadline),
    ];
    for (name, value) in deadlines {
        if value == 0 && document.contains(&key(name)) {
            let remedy = "write milliseconds, or leave the key out";
            document.add_warning(&key(name), "0 selects the default", remedy);
        }
    }
}

fn check_objectives(service: &v1::Service, path: &str, document: &mut Document) {
    let Some(objectives) = service.objectives else {
        return;
    };
    let key = |name: &str| format!("{path}.objectives.{name}");
    let shares = [
        ("latency_ppm", objectives.latency_ppm),
        ("coverage_ppm", objectives.coverage_ppm),
        ("served_ppm", objectives.served_ppm),
    ];
    for (name, ppm) in shares {
        let key = key(name);
        if ppm > MAX_PPM {
            let detail = format!("{ppm} is more than 100%");
            document.add_error(&key, &detail, "write parts per million, 999000 for 99.9%");
        } else if ppm == MAX_PPM {
            let remedy = "write 999999 or less, or expect an alert on the first miss";
            document.add_warning(&key, "an objective of 100% leaves no error budget", remedy);
        } else if (1..=100).contains(&ppm) {
            let detail = format!("{ppm} parts per million is at most 0.01%");
            document.add_warning(&key, &detail, "write 990000 for 99%");
        }
    }
    let latency_bound = objectives.latency_ms;
    let max_deadline = service.limits.unwrap_or_default().deadline_max;
    if max_deadline > 0 && latency_bound > max_deadline {
        let detail = format!("{latency_bound} exceeds limits.deadline_max, {max_deadline}");
        let remedy = "lower it: no answer comes after its deadline";
        document.add_error(&key("latency_ms"), &detail, remedy);
    }
    if latency_bound == 0 && document.contains(&key("latency_ms")) && objectives.latency_ppm > 0 {
        let remedy = "write the bound in milliseconds";
        document.add_error(&key("latency_ms"), "no answer can meet 0", remedy);
    }
}

/// Checks the encoded size of `service`, which is stored as one value.
fn check_size(service: &v1::Service, path: &str, document: &mut Document) {
    let bytes = heatherrun_schema::encode(service).map_or(0, |text| text.len());
    let detail = format!("the service takes {bytes} of {MAX_STORED_BYTES} bytes of a stored value");
    let remedy = "split it into two services";
    if bytes > MAX_STORED_BYTES {
        document.add_error(path, &detail, remedy);
    } else if bytes > STORED_BYTES_WARNING {
        document.add_warning(path, &detail, remedy);
    }
}
