//! API keys of callers: generated once, stored as digests and compared in constant time.

use std::fmt::Write;

use rand::Rng;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// The header that a key is read from when `authorization` holds none.
pub const KEY_HEADER: &str = "x-api-key";

/// Number of random bytes in the id of a key.
const ID_BYTES: usize = 6;

/// Number of random bytes in the secret part of a key.
const SECRET_BYTES: usize = 24;

/// A new key; `text` is shown to the operator once and never stored.
pub struct GrantedKey {
    /// The public id of the key.
    pub id: String,
    /// The secret text that the caller sends.
    pub text: String,
    /// The SHA-256 digest of `text`, which the configuration stores.
    pub digest: [u8; 32],
}

/// Generates a random key.
#[must_use]
pub fn generate_key() -> GrantedKey {
    let id = hex::<ID_BYTES>();
    let text = format!("mjd_{id}_{}", hex::<SECRET_BYTES>());
    let digest = digest_key(&text);
    GrantedKey { id, text, digest }
}

/// Returns the digest under which the configuration stores a key.
#[must_use]
pub fn digest_key(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// Compares two digests in constant time, so that the duration does not reveal where they differ.
#[must_use]
pub fn digests_equal(a: &[u8; 32], b: &[u8; 32]) -> bool {
    a.ct_eq(b).into()
}

fn hex<const N: usize>() -> String {
    let mut bytes = [0; N];
    rand::rng().fill(&mut bytes[..]);
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}
