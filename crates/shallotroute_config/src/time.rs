//! Conversion of times to and from RFC 3339 in UTC.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a time with milliseconds, such as `2026-12-03T20:40:00.000Z`.
///
/// A time before 1970 is formatted as the start of 1970.
pub fn format(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, second) = (
        since_epoch.as_secs() / SECONDS_PER_DAY,
        since_epoch.as_secs() % SECONDS_PER_DAY,
    );
    let (year, month, day) = civil_from_days(days);
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    let millis = since_epoch.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Parses an RFC 3339 time in UTC (`Z`) with or without a fraction, or whole seconds since 1970.
///
/// Returns `None` for any other text, also for another time zone and for years before 1970.
pub fn parse(text: &str) -> Option<SystemTime> {
    if let Ok(seconds) = text.parse::<u32>() {
        return Some(UNIX_EPOCH + Duration::from_secs(seconds.into()));
    }
    let (date, clock) = text.strip_suffix('Z')?.split_once('T')?;
    let (clock, fraction) = clock.split_once('.').unwrap_or((clock, "0"));
    let [year, month, day] = numbers(date, '-')?;
    let [hour, minute, second] = numbers(clock, ':')?;
    let valid = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    let nanos: u32 = format!("{fraction:0<9}").get(..9)?.parse().ok()?;
    valid.then(|| {
        let seconds = days_from_civil(year, month, day) * SECONDS_PER_DAY
            + hour * 3600
            + minute * 60
            + second;
        UNIX_EPOCH + Duration::new(seconds, nanos)
    })
}

/// Parses three numbers with a separator between them.
fn numbers(text: &str, separator: char) -> Option<[u64; 3]> {
    let numbers: Option<Vec<u64>> = text
        .split(separator)
        .map(|number| number.parse().ok())
        .collect();
    numbers?.try_into().ok()
}

/// Returns year, month and day of the date `days` after 1970-01-01.
///
/// Algorithm: H. Hinnant, "chrono-compatible low-level date algorithms", `civil_from_days`.
fn civil_from_days(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_index = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_index + 2) / 5 + 1;
    let month = if month_index < 10 {
        month_index + 3
    } else {
        month_index - 9
    };
    (year_of_era + era * 400 + u64::from(month <= 2), month, day)
}

/// Returns the number of days since 1970-01-01; the inverse of [`civil_from_days`], from the same
/// source.
fn days_from_civil(year: u64, month: u64, day: u64) -> u64 {
    let year = year - u64::from(month <= 2);
    let (era, year_of_era) = (year / 400, year % 400);
    let month_index = (month + 9) % 12;
    let day_of_year = (153 * month_index + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}
