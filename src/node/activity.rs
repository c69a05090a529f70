//! What is under way at a node, and has to end before the node does.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

/// A count of requests or connections that are open.
#[derive(Clone, Default)]
pub struct OpenCount(Arc<AtomicU64>);

/// Counts as open until it is dropped.
pub struct Open(OpenCount);

impl OpenCount {
    /// Counts one more until the returned value is dropped.
    #[must_use]
    pub fn track(&self) -> Open {
        self.0.fetch_add(1, Relaxed);
        Open(self.clone())
    }

    /// Returns how many are open.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Relaxed);
    }
}
