//! Structured logs: one JSON object per line on standard output, without keys or secrets.
//!
//! A separate thread writes them from a bounded queue. Messages that do not fit are dropped, so that no
//! request waits while the reader of the logs is slow.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    LevelFilter, Logger, ThreadPool,
    formatter::JsonFormatter,
    set_default_logger,
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
    terminal_style::StyleMode,
};

use crate::error::{Error, Finding, Findings};

/// Number of lines that may be queued: several seconds of logs of a node under its highest load.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();

/// Installs a logger that writes messages of a level and above to standard output.
///
/// # Errors
/// [`Error::Findings`] when the level is unknown or the logger cannot be created.
pub fn init(level: &str) -> Result<(), Error> {
    let level = level
        .parse()
        .map_err(|_| level_error("must be error, warn, info or debug"))?;
    let logger = build_logger(level).map_err(|e| level_error(&e.to_string()))?;
    set_default_logger(Arc::new(logger));
    Ok(())
}

fn build_logger(level: spdlog::Level) -> spdlog::Result<Logger> {
    let stream = StdStreamSink::builder()
        .stdout()
        .style_mode(StyleMode::Never)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(QUEUE_CAPACITY).build_arc()?;
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

fn level_error(message: &str) -> Error {
    Error::Findings(Findings(vec![Finding {
        source: "--log-level".to_owned(),
        line: 0,
        column: 0,
        message: message.to_owned(),
    }]))
}
