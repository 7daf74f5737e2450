//! The platform stand-in as a process.

use std::process::ExitCode;

use mustardhinge_standins::standin_process::{PlatformSettings, ProcessFrame, serve_platform};

fn main() -> ExitCode {
    let frame = ProcessFrame {
        program: "mustardhinge-platform",
        summary: "the object API and the list of instances, for tests and trials",
    };
    frame.run(
        |settings: &PlatformSettings| &settings.log_level,
        serve_platform,
    )
}
