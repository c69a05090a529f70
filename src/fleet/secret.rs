//! The fleet secret, which authenticates every call and datagram as coming from a node of this
//! fleet.

use std::fmt::{self, Write};

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Length of the truncated HMAC in a datagram, in bytes.
const TAG_BYTES: usize = 16;

const MIN_SECRET_BYTES: usize = 16;

/// The text whose HMAC is the token of calls.
const CALL_PURPOSE: &[u8] = b"marjoramdyke call 1";

/// The secret that all nodes of a fleet share. It is never printed.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Why a secret or a datagram is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SecretError {
    /// The secret has too few bytes.
    #[error("the fleet secret must have at least {MIN_SECRET_BYTES} bytes")]
    TooShort,
    /// The datagram is not signed with this secret.
    #[error("the datagram is not signed with the fleet secret")]
    InvalidTag,
}

impl Secret {
    /// Creates a secret from a text; white space around it is removed.
    ///
    /// # Errors
    /// [`SecretError::TooShort`] when it has fewer than 16 bytes and so could be guessed.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let bytes = text.trim().as_bytes().to_vec();
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort);
        }
        Ok(Self(bytes))
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.0).expect("HMAC accepts keys of any length")
    }

    /// Returns the token that authenticates calls; [`TOKEN_HEADER`](super::TOKEN_HEADER) carries
    /// it.
    #[must_use]
    pub fn token(&self) -> String {
        let mut mac = self.mac();
        mac.update(CALL_PURPOSE);
        let tag = mac.finalize().into_bytes();
        tag.iter().fold(String::new(), |mut out, b| {
            // Writing to a `String` cannot fail.
            let _ = write!(out, "{b:02x}");
            out
        })
    }

    /// Returns a datagram that holds the truncated HMAC of the content and the content.
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

    /// Checks the signature of a datagram and returns its content.
    ///
    /// # Errors
    /// [`SecretError::InvalidTag`] when it is too short or not signed with this secret.
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
