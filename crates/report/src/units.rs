//! Numbers as operators read them.

/// Seconds as the largest whole units, such as `2h` or `10m30s`.
#[must_use]
pub fn secs(secs: u64) -> String {
    const UNITS: [(u64, &str); 4] = [(86_400, "d"), (3_600, "h"), (60, "m"), (1, "s")];
    let mut left = secs;
    let mut text = String::new();
    let mut parts = 0;
    for (size, unit) in UNITS {
        if left < size || parts == 2 {
            continue;
        }
        text += &(left / size).to_string();
        text += unit;
        left %= size;
        parts += 1;
    }
    if text.is_empty() {
        "0s".to_owned()
    } else {
        text
    }
}

/// Microseconds as milliseconds with a unit.
#[must_use]
pub fn micros(micros: u64) -> String {
    format!("{}.{:01}ms", micros / 1_000, micros % 1_000 / 100)
}

/// Parts per million as per cent, without needless zeros.
#[must_use]
pub fn ppm(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    let short = text.trim_end_matches('0').trim_end_matches('.');
    format!("{short}%")
}

/// Share of one as per cent.
#[must_use]
pub fn share(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// A burn rate with as many digits as matter.
#[must_use]
pub fn rate(rate: f64) -> String {
    if rate >= 100.0 {
        format!("{rate:.0}")
    } else if rate >= 10.0 {
        format!("{rate:.1}")
    } else {
        format!("{rate:.2}")
    }
}
