//! The report on error budget burn, with the worst-served organisation first.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;

use crate::{
    cli::ReportArgs,
    error::Error,
    exit_codes::Exit,
    net::{ExchangeLimits, exchange},
    ops::burn::{ServiceLevel, WINDOWS, WindowCounts, service_levels},
};

/// Timeout of one request to a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the counts of all nodes and prints the burn rates.
///
/// # Errors
/// [`Error::Node`] when a node cannot be read, since the report would be wrong without its counts.
pub async fn run(args: &ReportArgs) -> Result<Exit, Error> {
    let mut counts = Vec::new();
    for node in &args.nodes {
        counts.extend(read_counts(node).await?);
    }
    let levels = service_levels(&counts, args.objective);
    match args.json {
        true => print_json(&levels),
        false => print_text(&levels),
    }
    Ok(Exit::Success)
}

async fn read_counts(node: &str) -> Result<Vec<WindowCounts>, Error> {
    let node_error = |reason: String| Error::Node {
        node: node.to_owned(),
        reason,
    };
    let request = Request::builder()
        .uri("/burn")
        .header("host", node)
        .body(Full::new(Bytes::new()))
        .map_err(|e| node_error(e.to_string()))?;
    let (_, content) = exchange(node, request, ExchangeLimits::whole(NODE_TIMEOUT))
        .await
        .map_err(|e| node_error(e.to_string()))?;
    serde_json::from_slice(&content).map_err(|e| node_error(e.to_string()))
}

fn print_json(levels: &[ServiceLevel]) {
    let list: Vec<_> = levels
        .iter()
        .map(|l| {
            let burns = WINDOWS.iter().map(|(name, _)| *name).zip(&l.burn_rates);
            let burns: serde_json::Map<_, _> =
                burns.map(|(n, b)| (n.to_owned(), json!(b))).collect();
            json!({
                "service": l.service,
                "organisation": l.organisation,
                "answers": l.answers,
                "success": l.success,
                "burn": burns,
            })
        })
        .collect();
    println!("{}", json!(list));
}

fn print_text(levels: &[ServiceLevel]) {
    println!(
        "{:<20} {:<24} {:>9} {:>9} {:>8} {:>8} {:>8}",
        "service", "organisation", "answers", "success", "burn 5m", "1h", "6h"
    );
    for level in levels {
        let burns: Vec<String> = level
            .burn_rates
            .iter()
            .map(|b| format!("{b:>8.2}"))
            .collect();
        println!(
            "{:<20} {:<24} {:>9} {:>8.3}% {}",
            level.service,
            level.organisation,
            level.answers,
            100.0 * level.success,
            burns.join(" ")
        );
    }
}
