//! Stand-ins and checks for the cases of the review; see review/REPORT.md.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod backend;
mod cases;
mod client;
mod fleet;
mod store;
mod web;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let result = cases::run(case, Path::new(folder), Path::new(record), trouble);
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
