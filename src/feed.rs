//! The operators' declarations, where a linearizable store holds them as a whole.
//!
//! It stands in for the head row and its chunks: another program writes the declarations, and the
//! nodes only read them. See [docs/PLATFORM.md](../docs/PLATFORM.md#configuration).

use std::sync::Arc;

use bytes::Bytes;

use crate::{config::Document, error::Error, platform::PlatformFuture};

/// What one read found.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// Where the read stands in the store's order of changes.
    pub at: u64,
    /// The declarations as the operators wrote them; `None` when the store has not changed since the
    /// place that the read was given.
    pub content: Option<Content>,
    /// Data centres that are to get no new work.
    pub drained: Vec<String>,
}

/// What the operators wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// Nothing yet.
    Empty,
    /// A whole generation, to be decoded.
    Written(Bytes),
}

/// Decodes what the operators wrote into a generation's number and its document.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<(u64, Document), Error> + Send + Sync>;

/// The functions of a feed.
#[derive(Clone)]
pub struct Feed {
    /// Reads what has changed since a place in the store's order of changes; 0 for everything.
    pub read: Arc<dyn Fn(u64) -> PlatformFuture<Reading> + Send + Sync>,
    /// Decodes a generation with its number.
    pub decode: Decode,
}
