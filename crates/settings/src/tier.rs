//! Checks of what the configuration of a tier means together.

use std::collections::HashMap;

use heatherrun_schema::v1::{self, TierConfig};

use crate::searcher::Searchers;
use crate::shape::Shaped;

/// Longest name, in bytes.
const NAME_BYTES: usize = 63;

/// Largest value the platform's store takes, in bytes.
const STORE_BYTES: usize = 1_000_000;

/// Size of a value from which there is a warning, in bytes.
const LARGE_BYTES: usize = 800_000;

/// Longest body of a caller's request, in bytes.
const BODY_BYTES: u32 = 256 * 1024;

/// Longest deadline, in milliseconds.
const DEADLINE_MS: u32 = 600_000;

/// Longest window in which once-only requests are remembered, in seconds.
const ONCE_SECS: u32 = 3_600;

/// Parts per million that make a whole.
const WHOLE_PPM: u32 = 1_000_000;

pub(crate) fn check(config: &TierConfig, out: &mut Shaped) {
    check_domains(&config.domains, out);
    let mut names = HashMap::new();
    let mut searchers = Searchers::new(&config.domains);
    for (ix, service) in config.services.iter().enumerate() {
        let path = format!("services[{ix}]");
        let key = format!("{path}.name");
        check_name(&key, &service.name, out);
        check_unique(&key, &service.name, &mut names, out);
        check_kind(service, &path, out);
        searchers.check(service, &path, out);
        check_limits(service, &path, out);
        check_objectives(service, &path, out);
        check_size(service, &path, out);
    }
}

fn check_domains(domains: &[v1::FailureDomain], out: &mut Shaped) {
    if domains.is_empty() && out.has("domains") {
        out.fault("domains", "no failure domain", "declare each of them");
    }
    let mut names = HashMap::new();
    for (ix, domain) in domains.iter().enumerate() {
        let key = format!("domains[{ix}].name");
        check_name(&key, &domain.name, out);
        check_unique(&key, &domain.name, &mut names, out);
        check_name(&format!("domains[{ix}].region"), &domain.region, out);
    }
    if !domains.is_empty() && domains.iter().all(|d| d.out) {
        let remedy = "set \"out\" to false in one of them";
        out.warn("domains", "every failure domain is taken out", remedy);
    }
}

/// Checks that `name` can stand in keys, log lines and commands.
pub(crate) fn check_name(key: &str, name: &str, out: &mut Shaped) {
    if !out.has(key) {
        return;
    }
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > NAME_BYTES || !name.chars().all(fits) {
        let detail = format!("{name:?} is no name");
        let remedy = format!("use 1 to {NAME_BYTES} of a-z, 0-9, '-', '_' and '.'");
        out.fault(key, &detail, &remedy);
    }
}

/// Checks that `value` was not used at an earlier key.
pub(crate) fn check_unique(
    key: &str,
    value: &str,
    seen: &mut HashMap<String, String>,
    out: &mut Shaped,
) {
    if !out.has(key) {
        return;
    }
    if let Some(earlier) = seen.get(value) {
        let detail = format!("{value:?} is used by {earlier} already");
        out.fault(key, &detail, "choose another one");
        return;
    }
    seen.insert(value.to_owned(), key.to_owned());
}

fn check_kind(service: &v1::Service, path: &str, out: &mut Shaped) {
    let sharded = out.has(&format!("{path}.sharded"));
    let pooled = out.has(&format!("{path}.pooled"));
    if sharded && pooled {
        let detail = format!("service {:?} is of two kinds", service.name);
        out.fault(path, &detail, "keep one of \"sharded\" and \"pooled\"");
    }
    if !sharded && !pooled {
        let detail = format!("service {:?} is of no kind", service.name);
        out.fault(path, &detail, "add \"sharded\" or \"pooled\"");
    }
}

fn check_limits(service: &v1::Service, path: &str, out: &mut Shaped) {
    let limits = service.limits.unwrap_or_default();
    let key = |name: &str| format!("{path}.limits.{name}");
    let (usual, longest) = (limits.deadline_ms, limits.deadline_max);
    if longest > 0 && usual > longest {
        let detail = format!("{usual} exceeds deadline_max, {longest}");
        out.fault(
            &key("deadline_ms"),
            &detail,
            "lower it or raise deadline_max",
        );
    }
    let most = [
        ("deadline_ms", usual, DEADLINE_MS),
        ("deadline_max", longest, DEADLINE_MS),
        ("extra_percent", limits.extra_percent, 100),
        ("body_bytes", limits.body_bytes, BODY_BYTES),
        ("once_secs", limits.once_secs, ONCE_SECS),
    ];
    for (name, value, most) in most {
        if value > most {
            let detail = format!("{value} is out of range");
            out.fault(&key(name), &detail, &format!("write {most} at the most"));
        }
    }
    let zero = [("deadline_ms", usual), ("deadline_max", longest)];
    for (name, value) in zero {
        if value == 0 && out.has(&key(name)) {
            let remedy = "write milliseconds, or leave the key out";
            out.warn(&key(name), "0 takes the default", remedy);
        }
    }
}

fn check_objectives(service: &v1::Service, path: &str, out: &mut Shaped) {
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
        if ppm > WHOLE_PPM {
            let detail = format!("{ppm} is more than all");
            out.fault(&key, &detail, "write parts per million, 999000 for 99.9%");
        } else if ppm == WHOLE_PPM {
            let remedy = "write 999999 or less, or expect alerts at the first miss";
            out.warn(&key, "an objective of all leaves no error budget", remedy);
        } else if (1..=100).contains(&ppm) {
            let detail = format!("{ppm} parts per million is hardly any");
            out.warn(&key, &detail, "write 990000 for 99%");
        }
    }
    let bound = objectives.latency_ms;
    let longest = service.limits.unwrap_or_default().deadline_max;
    if longest > 0 && bound > longest {
        let detail = format!("{bound} exceeds limits.deadline_max, {longest}");
        let remedy = "lower it: no answer comes after its deadline";
        out.fault(&key("latency_ms"), &detail, remedy);
    }
    if bound == 0 && out.has(&key("latency_ms")) && objectives.latency_ppm > 0 {
        let remedy = "write the bound in milliseconds";
        out.fault(&key("latency_ms"), "no answer can meet 0", remedy);
    }
}

/// Each service is one value of the platform's store.
fn check_size(service: &v1::Service, path: &str, out: &mut Shaped) {
    let bytes = heatherrun_schema::encode(service).map_or(0, |text| text.len());
    let detail = format!("the service takes {bytes} of {STORE_BYTES} bytes of a stored value");
    let remedy = "split it into two services";
    if bytes > STORE_BYTES {
        out.fault(path, &detail, remedy);
    } else if bytes > LARGE_BYTES {
        out.warn(path, &detail, remedy);
    }
}
