//! The operators' configuration, read from a linearizable store that holds it as a whole.
//!
//! A feed replaces the head row and its chunks: another program writes the configuration, and the
//! nodes only read it. See [docs/PLATFORM.md](../docs/PLATFORM.md#configuration).

use std::sync::Arc;

use bytes::Bytes;

use crate::{config::Document, error::Error, platform::PlatformFuture, policy::rollout::Order};

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
    /// The orders of roll-outs; `None` when they were not read.
    pub orders: Option<Vec<OrderRow>>,
}

data! {
    /// An order of a roll-out, and the status of its service.
    pub struct OrderRow {
        /// The order.
        pub order: Order,
        /// The status, if any was written for this or an earlier order.
        pub status: Option<Status>,
    }

    /// The status of a service's last roll-out.
    pub struct Status {
        /// The state, or `None` if it is unknown.
        pub state: Option<RolloutState>,
        /// The version that was ordered.
        pub version: String,
        /// The store's revision at which the status was written.
        pub revision: u64,
    }

    /// A status to write.
    pub struct StatusWrite {
        /// The service.
        pub service: String,
        /// The state.
        pub state: RolloutState,
        /// The version that was ordered.
        pub version: String,
        /// The revision of the status that is replaced; 0 if there is none.
        pub replaces: u64,
    }
}

value! {
    /// The state of a roll-out that operators see.
    pub enum RolloutState {
        /// It has not ended.
        Running,
        /// All requests go to the new version.
        Complete,
        /// No requests go to the new version.
        Reverted,
    }
}

impl OrderRow {
    /// Returns the state that was written for this order, and not for an earlier one.
    #[must_use]
    pub fn state(&self) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        let current = status.revision > self.order.revision && status.version == self.order.version;
        status.state.filter(|_| current)
    }
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
    /// Writes the status of a roll-out, and returns whether the status that it replaces was still there.
    pub write_status: Arc<dyn Fn(StatusWrite) -> PlatformFuture<bool> + Send + Sync>,
}
