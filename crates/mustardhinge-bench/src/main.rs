//! The binary `mustardhinge-bench`.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use mustardhinge_bench::cli::{BenchCommand, HELP, RunOptions};
use mustardhinge_bench::history::RunHistory;
use mustardhinge_bench::model::{
    FIGURES_HEAD, LoadPattern, PLACEMENT_HEAD, PlacementCase, QUEUE_HEAD, QueueCase, run_all,
    run_placement, run_queues,
};
use mustardhinge_bench::plot::{plot_history, plot_policies};
use mustardhinge_bench::report::{FigureComparison, read_reports};
use mustardhinge_bench::run::BenchRun;
use mustardhinge_bench::trace::{compare_steps, read_steps, replay_trace, write_steps};
use mustardhinge_process::args::USAGE_EXIT_CODE;

/// The threads that carry the callers, the targets and the platform.
const LOAD_THREADS: usize = 4;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let command = match BenchCommand::parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("mustardhinge-bench: {error:#}; see --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match execute(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mustardhinge-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: BenchCommand) -> anyhow::Result<ExitCode> {
    match command {
        BenchCommand::Help => print!("{HELP}"),
        BenchCommand::Version => println!("mustardhinge-bench {}", env!("CARGO_PKG_VERSION")),
        BenchCommand::Compare { left, right } => {
            let comparison = FigureComparison::new(&read_reports(&left)?, &read_reports(&right)?);
            print!("{comparison}");
        }
        BenchCommand::Plot { history, out } => {
            for path in plot_history(&read_history(&history)?, &out)? {
                println!("{}", path.display());
            }
        }
        BenchCommand::Replay { trace, expect } => {
            let differences = compare_steps(&read_steps(&expect)?, &replay_trace(&trace)?);
            for difference in &differences {
                println!("{difference}");
            }
            if !differences.is_empty() {
                return Ok(ExitCode::FAILURE);
            }
        }
        BenchCommand::Record { trace, out } => write_steps(&replay_trace(&trace)?, &out)?,
        BenchCommand::Slope(name) => {
            for point in name.measure()? {
                println!("{}", serde_json::to_string(&point)?);
            }
        }
        BenchCommand::Policies { seed, out } => compare_policies(seed, out.as_deref())?,
        BenchCommand::Run(options) => return run_bench(options),
    }
    Ok(ExitCode::SUCCESS)
}

fn compare_policies(seed: u64, out: Option<&Path>) -> anyhow::Result<()> {
    println!("{FIGURES_HEAD}");
    for pattern in LoadPattern::ALL {
        let figures = run_all(pattern, seed);
        for figures in &figures {
            println!("{figures}");
        }
        if let Some(folder) = out {
            for path in plot_policies(&figures, folder)? {
                println!("{}", path.display());
            }
        }
    }
    println!("\n{PLACEMENT_HEAD}");
    for case in PlacementCase::ALL {
        for figures in run_placement(case, seed) {
            println!("{figures}");
        }
    }
    println!("\n{QUEUE_HEAD}");
    for case in QueueCase::ALL {
        for figures in run_queues(case, seed) {
            println!("{figures}");
        }
    }
    Ok(())
}

fn run_bench(options: RunOptions) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(LOAD_THREADS)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(BenchRun::new(options.plan).run())?;
    runtime.shutdown_background();
    if let Some(path) = &options.history {
        let file = File::create(path).with_context(|| path.display().to_string())?;
        serde_json::to_writer(BufWriter::new(file), &outcome.history)?;
    }
    if options.json {
        println!("{}", serde_json::to_string(&outcome.report)?);
    } else {
        print!("{}", outcome.report);
    }
    Ok(if outcome.report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn read_history(path: &Path) -> anyhow::Result<RunHistory> {
    let file = File::open(path).with_context(|| path.display().to_string())?;
    serde_json::from_reader(BufReader::new(file))
        .with_context(|| format!("{}: no history", path.display()))
}
