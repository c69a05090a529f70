//! The proxy node of a target VM.

use std::process::ExitCode;

use clap::Parser;
use marjoramdyke::{cli::NodeArgs, error::Error, exit_codes::Exit, logs, node, runtime, settings};

fn main() -> ExitCode {
    runtime::exit_code(run())
}

fn run() -> Result<Exit, Error> {
    let args = NodeArgs::parse();
    let settings = settings::load(&args)?;
    logs::init(&args.log_level)?;
    let deployment = node::Deployment::standard(&settings);
    runtime::block_on(node::run(settings, deployment, async |_| Ok(())))?;
    Ok(Exit::Success)
}
