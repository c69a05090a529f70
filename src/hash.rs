//! Hashes that all nodes of one build agree on.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes a value, the same way in each process.
pub fn hash_of(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
