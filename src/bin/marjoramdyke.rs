//! The operator's command line.

use std::process::ExitCode;

use clap::Parser;
use marjoramdyke::{cli::OperatorArgs, error::Error, exit_codes::Exit, operator, runtime};

fn main() -> ExitCode {
    runtime::exit_code(run())
}

fn run() -> Result<Exit, Error> {
    let args = OperatorArgs::parse();
    runtime::block_on(operator::run(&args))
}
