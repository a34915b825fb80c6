//! Formats figures for the log.

/// Returns seconds rounded to tenths.
pub(super) fn tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
