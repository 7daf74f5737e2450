//! The target stand-in as a process.

use std::process::ExitCode;

use mustardhinge_standins::standin_process::{ProcessFrame, TargetProcessSettings, serve_target};

fn main() -> ExitCode {
    let frame = ProcessFrame {
        program: "mustardhinge-target",
        summary: "a small database server for tests and trials",
    };
    frame.run(
        |settings: &TargetProcessSettings| &settings.log_level,
        serve_target,
    )
}
