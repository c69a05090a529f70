//! The scripts of the review's cases. Each starts a small deployment, sends requests, and checks one rule by what clients
//! and backends saw. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod evacuation;
mod late_heartbeat;
mod odd_heartbeat;
mod slow_download;
mod stand_ins;
mod two_stops;

use std::process::ExitCode;

/// The result of a case: whether the rule held, or why the case couldn't run.
pub type Verdict = Result<bool, &'static str>;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match case.as_str() {
        "evacuation" => evacuation::run(trouble),
        "late-heartbeat" => late_heartbeat::run(trouble),
        "odd-heartbeat" => odd_heartbeat::run(trouble),
        "slow-download" => slow_download::run(trouble),
        "two-stops" => two_stops::run(trouble),
        _ => Err("no such case"),
    };
    match verdict {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::from(0)
        }
        Ok(false) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("{case}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
