use serde::Serialize;

/// One measured point of a slope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlopePoint {
    /// The slope.
    pub slope: String,
    /// What its size counts.
    pub unit: String,
    /// The size.
    pub size: u64,
    /// Processor time for each operation, in microseconds.
    pub cpu_us_per_operation: Option<f64>,
    /// Memory for each of the things counted, in bytes.
    pub bytes_per_unit: Option<f64>,
    /// Calls to the platform, a second.
    pub platform_calls_per_s: Option<f64>,
}
