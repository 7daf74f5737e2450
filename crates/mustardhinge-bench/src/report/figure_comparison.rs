use std::fmt;

use super::{FigureSpread, RunReport};

/// Two sets of runs side by side, figure by figure.
#[derive(Clone, Debug, PartialEq)]
pub struct FigureComparison {
    rows: Vec<(&'static str, Option<FigureSpread>, Option<FigureSpread>)>,
}

impl FigureComparison {
    /// Compares the runs of `left` with those of `right`.
    #[must_use]
    pub fn new(left: &[RunReport], right: &[RunReport]) -> Self {
        let names = RunReport::default().list_figures();
        let rows = names
            .iter()
            .enumerate()
            .map(|(index, (name, _))| (*name, spread_at(left, index), spread_at(right, index)));
        Self {
            rows: rows.collect(),
        }
    }

    /// Returns the spreads of the figure called `name` on both sides.
    #[must_use]
    pub fn get_figure(&self, name: &str) -> Option<(Option<FigureSpread>, Option<FigureSpread>)> {
        let (_, left, right) = self.rows.iter().find(|(figure, _, _)| *figure == name)?;
        Some((*left, *right))
    }
}

fn spread_at(reports: &[RunReport], index: usize) -> Option<FigureSpread> {
    let figures: Vec<Option<f64>> = reports
        .iter()
        .map(|report| report.list_figures()[index].1)
        .collect();
    FigureSpread::of(&figures)
}

impl fmt::Display for FigureComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<30} {:<40} {:<40}",
            "figure", "A min / median / max (runs)", "B"
        )?;
        for (name, left, right) in &self.rows {
            let show = |spread: &Option<FigureSpread>| {
                spread.map_or_else(|| "-".to_owned(), |spread| spread.to_string())
            };
            writeln!(f, "{name:<30} {:<40} {:<40}", show(left), show(right))?;
        }
        Ok(())
    }
}
