use std::path::Path;

use anyhow::Context;

use super::RunReport;

/// Reads the reports of a file, one JSON line each.
///
/// # Errors
///
/// Fails if the file can't be read or a line is no report; the message names the line.
pub fn read_reports(path: &Path) -> anyhow::Result<Vec<RunReport>> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line)
                .with_context(|| format!("{}:{}: no report", path.display(), index + 1))
        })
        .collect()
}
