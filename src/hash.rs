//! Hashes that are the same on all nodes that run one build.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the hash of a value, which is the same in every process of one build.
pub fn hash_of(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
