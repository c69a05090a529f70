//! The operators' configuration, read from a linearizable store that holds it as a whole.
//!
//! A feed replaces the head row and its chunks: another program writes the configuration, and the
//! nodes only read it. See [docs/PLATFORM.md](../docs/PLATFORM.md#configuration).

use std::sync::Arc;

use bytes::Bytes;

use crate::{config::Document, error::Error, platform::PlatformFuture};

/// The result of one read of a feed.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// The store's revision at the time of the read.
    pub revision: u64,
    /// The configuration as the operators wrote it; `None` when the store has not changed since the
    /// revision that was passed to the read.
    pub content: Option<Content>,
    /// Data centres that get no new requests.
    pub drained: Vec<String>,
}

/// The configuration as the operators wrote it.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// No configuration has been written yet.
    Empty,
    /// A whole generation, not decoded yet.
    Written(Bytes),
}

/// Decodes a written configuration into its generation number and its document.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<(u64, Document), Error> + Send + Sync>;

/// The functions that read and decode a feed.
#[derive(Clone)]
pub struct Feed {
    /// Reads what has changed since a revision of the store; 0 for everything.
    pub read: Arc<dyn Fn(u64) -> PlatformFuture<Reading> + Send + Sync>,
    /// Decodes what `read` returned.
    pub decode: Decode,
}
