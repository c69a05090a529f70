//! The fleet secret: proof on every call and datagram that it comes from a node of this fleet.

use std::fmt::{self, Write};

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

const TAG_BYTES: usize = 16;
const SHORTEST_SECRET: usize = 16;
const CALL_PURPOSE: &[u8] = b"marjoramdyke call 1";

/// The secret that all nodes of a fleet share. It is never printed.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Why a datagram or secret is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SecretError {
    /// The secret has too few bytes.
    #[error("the fleet secret must have at least {SHORTEST_SECRET} bytes")]
    TooShort,
    /// The datagram was not sealed with this secret.
    #[error("the datagram is not sealed with the fleet's secret")]
    InvalidTag,
}

impl Secret {
    /// Takes a secret; white space around it does not count.
    ///
    /// # Errors
    /// [`SecretError::TooShort`] when it could be guessed.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let bytes = text.trim().as_bytes().to_vec();
        if bytes.len() < SHORTEST_SECRET {
            return Err(SecretError::TooShort);
        }
        Ok(Self(bytes))
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.0).expect("HMAC takes keys of every length")
    }

    /// Returns the proof that calls carry.
    #[must_use]
    pub fn token(&self) -> String {
        let mut mac = self.mac();
        mac.update(CALL_PURPOSE);
        let tag = mac.finalize().into_bytes();
        tag.iter().fold(String::new(), |mut out, b| {
            // Writing to a string cannot fail.
            let _ = write!(out, "{b:02x}");
            out
        })
    }

    /// Seals a datagram.
    #[must_use]
    pub fn sign(&self, content: &[u8]) -> Vec<u8> {
        let mut mac = self.mac();
        mac.update(content);
        let tag = mac.finalize().into_bytes();
        let mut out = Vec::with_capacity(TAG_BYTES + content.len());
        out.extend_from_slice(&tag[..TAG_BYTES]);
        out.extend_from_slice(content);
        out
    }

    /// Opens a datagram.
    ///
    /// # Errors
    /// [`SecretError::InvalidTag`] when it does not come from this fleet.
    pub fn verify<'d>(&self, datagram: &'d [u8]) -> Result<&'d [u8], SecretError> {
        let (tag, content) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(SecretError::InvalidTag)?;
        let mut mac = self.mac();
        mac.update(content);
        mac.verify_truncated_left(tag)
            .map_err(|_| SecretError::InvalidTag)?;
        Ok(content)
    }
}
