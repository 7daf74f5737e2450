/// Divides two counts; none if the second is zero.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub fn divide_counts(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| part as f64 / whole as f64)
}
