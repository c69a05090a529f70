//! Keys of callers: made once, stored as digests, compared in constant time.

use std::fmt::Write;

use rand::Rng;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// The header that carries a key when `authorization` does not.
pub const KEY_HEADER: &str = "x-api-key";

const ID_BYTES: usize = 6;
const SECRET_BYTES: usize = 24;

/// A new key; `text` is shown to the operator once and kept nowhere.
pub struct GrantedKey {
    /// The public name.
    pub id: String,
    /// What the caller sends.
    pub text: String,
    /// What the configuration keeps.
    pub digest: [u8; 32],
}

/// Makes a new key.
#[must_use]
pub fn generate_key() -> GrantedKey {
    let id = hex::<ID_BYTES>();
    let text = format!("mjd_{id}_{}", hex::<SECRET_BYTES>());
    let digest = digest_key(&text);
    GrantedKey { id, text, digest }
}

/// Returns the digest that the configuration keeps of a key.
#[must_use]
pub fn digest_key(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// Compares two digests without telling by its time where they differ.
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
