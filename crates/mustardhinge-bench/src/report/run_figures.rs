use std::time::Duration;

use hdrhistogram::Histogram;
use mustardhinge_core::prelude::*;

use super::divide_counts;
use crate::history::{CustomerLimit, OperationRecord, OperationResult, RunHistory};

/// Refusals that are never wrongful: the caller or the request is at fault.
const RIGHTFUL_REASONS: [&str; 4] = [
    "key_rejected",
    "unsupported",
    "key_in_statement",
    "statement_too_large",
];

/// The significant digits of latency histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Thousandths of a request in one request.
const MILLIS_PER_REQUEST: f64 = 1_000.0;

/// How one customer of a service fared.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerFigures {
    /// The customer.
    pub customer: CustomerId,
    /// The share of its requests within its rate that were confirmed.
    pub goodput: Option<f64>,
    /// The 99th percentile of the latency of its confirmed requests.
    pub p99: Option<Duration>,
}

/// Figures worked out from a history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunFigures {
    /// Requests refused although the rate over the fleet allowed them.
    pub wrongful_refusals: u64,
    /// Per customer of all services.
    pub customers: Vec<CustomerFigures>,
}

impl RunFigures {
    /// Works out the figures of a history.
    #[must_use]
    pub fn of(history: &RunHistory) -> Self {
        let mut figures = Self::default();
        for limit in &history.limits {
            let mut operations: Vec<&OperationRecord> = history
                .operations
                .iter()
                .filter(|operation| operation.service == limit.service)
                .filter(|operation| operation.customer.as_ref() == Some(&limit.customer))
                .collect();
            operations.sort_by_key(|operation| operation.started);
            let (customer, wrongful) = judge_customer(limit, &operations);
            figures.customers.push(customer);
            figures.wrongful_refusals += wrongful;
        }
        figures
    }

    /// Returns the worst customer's goodput as a share of the median customer's.
    #[must_use]
    pub fn get_worst_goodput_ratio(&self) -> Option<f64> {
        let mut shares: Vec<f64> = self
            .customers
            .iter()
            .filter_map(|one| one.goodput)
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = *shares.get(shares.len().checked_sub(1)? / 2)?;
        (median > 0.0).then(|| shares[0] / median)
    }

    /// Returns the worst customer's 99th percentile against the median customer's.
    #[must_use]
    pub fn get_worst_p99_ratio(&self) -> Option<f64> {
        let mut times: Vec<Duration> = self.customers.iter().filter_map(|one| one.p99).collect();
        times.sort();
        let median = *times.get(times.len().checked_sub(1)? / 2)?;
        (!median.is_zero()).then(|| times[times.len() - 1].as_secs_f64() / median.as_secs_f64())
    }
}

/// Judges a customer's requests against one bucket over the whole fleet.
fn judge_customer(
    limit: &CustomerLimit,
    operations: &[&OperationRecord],
) -> (CustomerFigures, u64) {
    let mut bucket = FleetBucket::full(limit);
    let mut latencies = make_histogram();
    let (mut entitled, mut confirmed, mut wrongful) = (0, 0, 0);
    for operation in operations {
        bucket.refill(operation.started);
        match &operation.result {
            OperationResult::NotRun { reason, .. } => {
                if bucket.has_room() && !RIGHTFUL_REASONS.contains(&reason.as_str()) {
                    bucket.take();
                    wrongful += 1;
                    entitled += 1;
                }
            }
            OperationResult::Completed { .. } => {
                entitled += 1;
                confirmed += 1;
                bucket.take();
                record_latency(&mut latencies, operation.latency());
            }
            OperationResult::Unknown | OperationResult::Broken { .. } => {
                entitled += 1;
                bucket.take();
            }
        }
    }
    let p99 =
        (!latencies.is_empty()).then(|| Duration::from_micros(latencies.value_at_quantile(0.99)));
    let customer = CustomerFigures {
        customer: limit.customer.clone(),
        goodput: divide_counts(confirmed, entitled),
        p99,
    };
    (customer, wrongful)
}

/// Makes a histogram of microseconds.
///
/// # Panics
///
/// Never: the number of digits is within the library's bounds.
fn make_histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed")
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // A histogram that resizes itself takes any time of a run.
    let _ = histogram.record(micros);
}

/// A token bucket that counts a customer's admitted requests over all instances.
struct FleetBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled: MonotonicTime,
}

impl FleetBucket {
    #[expect(
        clippy::cast_precision_loss,
        reason = "rates and bursts are far below 2^52"
    )]
    fn full(limit: &CustomerLimit) -> Self {
        let burst = limit.burst.as_millis() as f64 / MILLIS_PER_REQUEST;
        Self {
            rate: limit.rate.as_millis() as f64 / MILLIS_PER_REQUEST,
            burst,
            level: burst,
            refilled: MonotonicTime::default(),
        }
    }

    fn refill(&mut self, now: MonotonicTime) {
        let earned = now.saturating_since(self.refilled).as_secs_f64() * self.rate;
        self.level = (self.level + earned).min(self.burst);
        self.refilled = now;
    }

    fn has_room(&self) -> bool {
        self.level >= 1.0
    }

    fn take(&mut self) {
        self.level -= 1.0;
    }
}
