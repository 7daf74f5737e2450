//! What a case saw, in `record.txt`, with the seconds since its start.

use std::fmt;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began: Instant,
    output: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let output = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self {
            began: Instant::now(),
            output,
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: fmt::Arguments<'_>) {
        let now = self.now().as_secs_f64();
        let mut output = self.output.lock().unwrap();
        // The verdict doesn't depend on the record.
        let _ = writeln!(output, "{now:9.4} {text}");
    }

    pub fn flush(&self) {
        let _ = self.output.lock().unwrap().flush();
    }
}
