use std::fmt;

use super::ReplayStep;

/// A step whose actions are not the expected ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayDifference {
    /// The number of the input, counted from 1.
    pub number: usize,
    /// What was expected; none if the trace is longer than expected.
    pub expected: Option<ReplayStep>,
    /// What was done; none if the trace is shorter than expected.
    pub found: Option<ReplayStep>,
}

impl fmt::Display for ReplayDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "input {}: ", self.number)?;
        match (&self.expected, &self.found) {
            (Some(expected), Some(found)) if expected.at_us == found.at_us => write!(
                f,
                "at {} us expected {:?}, found {:?}",
                found.at_us, expected.actions, found.actions
            ),
            (expected, found) => write!(f, "expected {expected:?}, found {found:?}"),
        }
    }
}

/// Returns every step that differs.
#[must_use]
pub fn compare_steps(expected: &[ReplayStep], found: &[ReplayStep]) -> Vec<ReplayDifference> {
    (0..expected.len().max(found.len()))
        .filter(|index| expected.get(*index) != found.get(*index))
        .map(|index| ReplayDifference {
            number: index + 1,
            expected: expected.get(index).cloned(),
            found: found.get(index).cloned(),
        })
        .collect()
}
