//! Formats numbers with units for operators.

/// Seconds in the two largest units that apply, such as `2h` or `10m30s`.
#[must_use]
pub fn secs(secs: u64) -> String {
    const UNITS: [(u64, &str); 4] = [(86_400, "d"), (3_600, "h"), (60, "m"), (1, "s")];
    let mut remaining = secs;
    let mut text = String::new();
    let mut parts = 0;
    for (size, unit) in UNITS {
        if remaining < size || parts == 2 {
            continue;
        }
        text += &(remaining / size).to_string();
        text += unit;
        remaining %= size;
        parts += 1;
    }
    if text.is_empty() {
        "0s".to_owned()
    } else {
        text
    }
}

/// Microseconds as milliseconds with one decimal, such as `41.2ms`.
#[must_use]
pub fn micros(micros: u64) -> String {
    format!("{}.{:01}ms", micros / 1_000, micros % 1_000 / 100)
}

/// Parts per million as a percentage, without trailing zeros.
#[must_use]
pub fn ppm(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    let trimmed = text.trim_end_matches('0').trim_end_matches('.');
    format!("{trimmed}%")
}

/// A fraction of one as a percentage with one decimal.
#[must_use]
pub fn share(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// A burn rate with two decimals below 10, one below 100, and none above.
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

/// Unix milliseconds as date and time in UTC.
#[must_use]
pub fn utc(unix_ms: u64) -> String {
    let secs = unix_ms / 1_000;
    let (days, time) = (secs / 86_400, secs % 86_400);
    let (year, month, day) = date(days);
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}Z",
        time / 3_600,
        time / 60 % 60,
        time % 60
    )
}

/// Year, month and day of a day counted from 1970-01-01. Computed in eras of
/// 400 years that start on 0000-03-01, so that a leap day ends its year.
const fn date(days: u64) -> (u64, u64, u64) {
    const ERA_DAYS: u64 = 146_097;
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / ERA_DAYS, shifted % ERA_DAYS);
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let months_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * months_from_march + 2) / 5 + 1;
    let month = if months_from_march < 10 {
        months_from_march + 3
    } else {
        months_from_march - 9
    };
    let next_year = if month <= 2 { 1 } else { 0 };
    (year + era * 400 + next_year, month, day)
}
