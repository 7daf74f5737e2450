use std::cell::RefCell;

use toml::de::DeTable;

use super::TableReader;
use crate::finding::{Finding, FindingPlace, Findings};
use crate::line::{LineIndex, LineTable};

/// Collects the findings of one text while it is read.
pub(crate) struct ReadContext {
    file: Option<String>,
    lines: LineIndex,
    findings: RefCell<Vec<Finding>>,
}

impl ReadContext {
    /// Parses `text` and reads its outermost table with `read`.
    ///
    /// # Errors
    ///
    /// Fails with all findings if there is any.
    pub(crate) fn read_text<T>(
        file: Option<String>,
        text: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Result<T, Findings> {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(syntax_findings(file.as_ref(), text, &errors));
        }
        let context = Self {
            file,
            lines: LineIndex::new(text, root.get_ref()),
            findings: RefCell::default(),
        };
        let mut reader = TableReader::new(&context, root.get_ref(), String::new());
        let value = read(&mut reader);
        reader.finish();
        let findings = Findings::new(context.findings.take());
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(findings),
        }
    }

    /// Adds a finding at a key path.
    pub(crate) fn report(&self, key_path: String, problem: String, advice: String) {
        let place = FindingPlace {
            file: self.file.clone(),
            line: self.lines.find(&key_path),
            key_path,
        };
        let finding = Finding {
            place,
            problem,
            advice,
        };
        self.findings.borrow_mut().push(finding);
    }
}

fn syntax_findings(file: Option<&String>, text: &str, errors: &[toml::de::Error]) -> Findings {
    let table = LineTable::new(text);
    let finding = |error: &toml::de::Error| Finding {
        place: FindingPlace {
            file: file.cloned(),
            line: error.span().map(|span| table.find_line(span.start)),
            key_path: String::new(),
        },
        problem: format!("not TOML: {}", error.message()),
        advice: "write it as TOML 1.0".to_owned(),
    };
    Findings::new(errors.iter().map(finding).collect())
}
