use std::path::Path;

use anyhow::{Context, anyhow};
use plotters::prelude::*;

/// The size of a picture, in pixels.
const PICTURE_SIZE: (u32, u32) = (960, 480);

/// One named line of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct ChartLine {
    /// The name in the legend.
    pub name: String,
    /// The points, by seconds since the start of the run.
    pub points: Vec<(f64, f64)>,
}

/// A chart over the time of a run, with the faults marked.
#[derive(Clone, Debug, PartialEq)]
pub struct ChartPage {
    /// The title.
    pub title: String,
    /// The unit of the vertical axis.
    pub unit: String,
    /// The lines.
    pub lines: Vec<ChartLine>,
    /// The seconds at which a fault was switched.
    pub marks: Vec<f64>,
}

impl ChartPage {
    /// Writes the chart to `path` as an SVG file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write(&self, path: &Path) -> anyhow::Result<()> {
        let area = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
        self.draw(&area)
            .map_err(|error| anyhow!("{error}"))
            .with_context(|| format!("drawing {}", path.display()))
    }

    fn draw(
        &self,
        area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let end = points().map(|point| point.0).fold(1.0, f64::max);
        let top = points().map(|point| point.1).fold(0.001, f64::max) * 1.1;
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc(&self.unit)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), color))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        for mark in &self.marks {
            let ends = [(*mark, 0.0), (*mark, top)];
            chart.draw_series(LineSeries::new(ends, RED.mix(0.6)))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}
