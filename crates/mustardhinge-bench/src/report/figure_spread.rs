use std::fmt;

/// The least, middle and greatest of a figure over several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FigureSpread {
    /// The number of runs that yield the figure.
    pub runs: usize,
    /// The least.
    pub min: f64,
    /// The middle one; the lower of two.
    pub median: f64,
    /// The greatest.
    pub max: f64,
}

impl FigureSpread {
    /// Computes the spread; none if no run yields the figure.
    #[must_use]
    pub fn of(figures: &[Option<f64>]) -> Option<Self> {
        let mut figures: Vec<f64> = figures.iter().flatten().copied().collect();
        figures.sort_by(f64::total_cmp);
        let max = *figures.last()?;
        Some(Self {
            runs: figures.len(),
            min: figures[0],
            median: figures[(figures.len() - 1) / 2],
            max,
        })
    }
}

impl fmt::Display for FigureSpread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!(
            "{:.3} / {:.3} / {:.3} ({})",
            self.min, self.median, self.max, self.runs
        );
        f.pad(&text)
    }
}
