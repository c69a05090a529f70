//! The report on error budget burn.

use std::process::ExitCode;

use clap::Parser;
use marjoramdyke::{cli::ReportArgs, error::Error, exit_codes::Exit, report, runtime};

fn main() -> ExitCode {
    runtime::exit_code(run())
}

fn run() -> Result<Exit, Error> {
    let args = ReportArgs::parse();
    runtime::block_on(report::run(&args))
}
