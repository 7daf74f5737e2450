//! What all cases share: arguments, the record, the verdict.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time after which a case is ended.
const LIMIT: Duration = Duration::from_secs(115);

/// What a case is given.
pub struct Case {
    /// The program of the deploy file.
    pub program: PathBuf,
    pub record_path: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Outcome of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, with what shows it.
    Broken(String),
    /// The case could not run.
    Failed(String),
}

/// Runs a case with the arguments `PROGRAM RECORD`.
pub fn run(case: impl FnOnce(&Case) -> std::io::Result<Verdict>) -> ExitCode {
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(program), Some(record_path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&record_path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", record_path.display());
            return ExitCode::from(2);
        }
    };
    let case_input = Case {
        program,
        record_path,
        record: Arc::clone(&record),
        trouble,
    };
    record.line(format_args!("case: trouble={trouble}"));
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.flush();
        println!("the case could not run: it took too long");
        // The processes that it started end with it.
        std::process::exit(2);
    });
    let verdict = case(&case_input).unwrap_or_else(|error| Verdict::Failed(error.to_string()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("the rule is BROKEN: {what}"), 1),
        Verdict::Failed(why) => (format!("the case could not run: {why}"), 2),
    };
    println!("{text}");
    ExitCode::from(code)
}
