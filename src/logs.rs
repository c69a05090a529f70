//! Structured logs: one JSON object a line on standard output, without keys or secrets.
//!
//! A thread of its own writes them from a bounded queue; what does not fit is dropped, so that no
//! request waits for a reader of logs.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    set_default_logger,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
    terminal_style::StyleMode,
};

use crate::error::{Error, Finding, Findings};

/// Lines that may wait to be written: some seconds of a node under its highest load.
const MOST_WAITING: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();

/// Sends logs from a level on to standard output.
///
/// # Errors
/// [`Error::Findings`] when there is no such level or no logger can be made.
pub fn start(level: &str) -> Result<(), Error> {
    let level = level
        .parse()
        .map_err(|_| fault("must be error, warn, info or debug"))?;
    let logger = logger(level).map_err(|e| fault(&e.to_string()))?;
    set_default_logger(Arc::new(logger));
    Ok(())
}

fn logger(level: spdlog::Level) -> spdlog::Result<Logger> {
    let stream = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(MOST_WAITING).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()
}

fn fault(message: &str) -> Error {
    Error::Findings(Findings(vec![Finding {
        source: "--log-level".to_owned(),
        line: 0,
        column: 0,
        message: message.to_owned(),
    }]))
}
