use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::check::RuleViolation;

/// The figures of one run; a figure that the run does not yield is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The deployment.
    pub deployment: String,
    /// The seed of the load.
    pub seed: u64,
    /// The faults caused.
    pub faults: Vec<String>,
    /// The baseline run in place of the product's policy.
    pub baseline: Option<String>,
    /// The length of the load, in seconds.
    pub duration_s: f64,
    /// Operations sent.
    pub requests: u64,
    /// Operations confirmed.
    pub completed: u64,
    /// Operations refused as not run, by reason.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// Operations whose caller was told, or must assume, that the outcome is unknown.
    pub unknown: u64,
    /// The part of `unknown` whose connection ended without an answer.
    pub broken: u64,
    /// The rules broken.
    pub violations: Vec<RuleViolation>,
    /// Rows whose order in time was not checked, as the search would take too long.
    pub rows_left_unchecked: u64,
    /// The share of reads that replicas served.
    pub replica_read_share: Option<f64>,
    /// The longest time without a confirmed write in a group whose primary failed.
    pub failover_gap_ms: Option<f64>,
    /// The worst customer's goodput as a share of the median customer's.
    pub worst_customer_goodput_ratio: Option<f64>,
    /// The worst customer's 99th percentile against the median customer's.
    pub worst_customer_p99_ratio: Option<f64>,
    /// Requests refused although the customer's rate over the fleet allowed them.
    pub wrongful_refusals: Option<u64>,
    /// Those requests as a share of all.
    pub wrongful_refusal_share: Option<f64>,
    /// The median latency added to that of a direct connection.
    pub added_latency_p50_us: Option<f64>,
    /// The 99th percentile of latency beyond that of a direct connection.
    pub added_latency_p99_us: Option<f64>,
    /// The median latency from the due time.
    pub latency_p50_us: Option<f64>,
    /// The 99th percentile of latency from the due time.
    pub latency_p99_us: Option<f64>,
    /// Calls to the platform, a second.
    pub platform_calls_per_s: Option<f64>,
    /// Processor time of a control process, as a share of a core.
    pub control_cpu_share: Option<f64>,
    /// Memory of a control process.
    pub control_rss_mb: Option<f64>,
    /// Bytes a second that a control process sends and receives.
    pub control_bytes_per_s: Option<f64>,
}

impl RunReport {
    /// Returns the figures that can be compared, by name; none where the run yields none.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of a run are far below 2^52"
    )]
    pub fn list_figures(&self) -> Vec<(&'static str, Option<f64>)> {
        let refused: u64 = self.refused_by_reason.values().sum();
        vec![
            ("requests", Some(self.requests as f64)),
            ("completed", Some(self.completed as f64)),
            ("refused", Some(refused as f64)),
            ("unknown", Some(self.unknown as f64)),
            ("violations", Some(self.violations.len() as f64)),
            ("replica_read_share", self.replica_read_share),
            ("failover_gap_ms", self.failover_gap_ms),
            (
                "worst_customer_goodput_ratio",
                self.worst_customer_goodput_ratio,
            ),
            ("worst_customer_p99_ratio", self.worst_customer_p99_ratio),
            (
                "wrongful_refusals",
                self.wrongful_refusals.map(|count| count as f64),
            ),
            ("wrongful_refusal_share", self.wrongful_refusal_share),
            ("added_latency_p50_us", self.added_latency_p50_us),
            ("added_latency_p99_us", self.added_latency_p99_us),
            ("latency_p50_us", self.latency_p50_us),
            ("latency_p99_us", self.latency_p99_us),
            ("platform_calls_per_s", self.platform_calls_per_s),
            ("control_cpu_share", self.control_cpu_share),
            ("control_rss_mb", self.control_rss_mb),
            ("control_bytes_per_s", self.control_bytes_per_s),
        ]
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} seed {} faults {:?}",
            self.deployment, self.seed, self.faults
        )?;
        for (name, figure) in self.list_figures() {
            match figure {
                Some(figure) => writeln!(f, "{name:<30} {figure:.3}")?,
                None => writeln!(f, "{name:<30} -")?,
            }
        }
        for (reason, count) in &self.refused_by_reason {
            writeln!(f, "refused {reason:<22} {count}")?;
        }
        for violation in &self.violations {
            writeln!(f, "VIOLATION {violation}")?;
        }
        Ok(())
    }
}
