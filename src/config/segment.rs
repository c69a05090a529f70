//! Divides the content of a generation into segments, so that nodes fetch only those that a change alters.
//!
//! The bytes themselves determine where a segment ends. An insertion therefore alters the segments around it, and
//! not all that follow.

use std::collections::HashMap;

use bytes::{Bytes, BytesMut};

use crate::config::{Digest, digest_of};

/// Smallest size of a segment in bytes, except for the last one.
const MIN_SIZE: usize = 512;

/// Largest size of a segment in bytes.
const MAX_SIZE: usize = 8 << 10;

/// A segment ends where these bits of the rolling hash are zero: in random content, on average 2 KB after
/// [`MIN_SIZE`]. Shorter segments would make the list longer than the segments that a change alters.
const END_MASK: u64 = 0x7ff << 53;

/// Length of a digest in a list, in bytes.
const DIGEST_BYTES: usize = 32;

/// The addends of the rolling hash, by byte value.
const ADDENDS: [u64; 256] = addends();

/// Generates pseudo-random addends by the `SplitMix64` algorithm.
const fn addends() -> [u64; 256] {
    let mut out = [0; 256];
    let mut state: u64 = 0;
    let mut i = 0;
    while i < out.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        out[i] = mixed ^ (mixed >> 31);
        i += 1;
    }
    out
}

/// The content of a generation, divided into segments.
#[derive(Debug, Clone)]
pub struct Segments {
    /// The whole content.
    pub content: Bytes,
    /// The digest of the list of segments, which identifies the content.
    pub digest: Digest,
    /// The segments and their list, by digest.
    pub chunks: HashMap<Digest, Bytes>,
}

impl Segments {
    /// Divides a content into segments.
    #[must_use]
    pub fn split(content: Bytes) -> Self {
        let mut segments = Vec::new();
        let mut rest = content.clone();
        while !rest.is_empty() {
            let segment = rest.split_to(segment_length(&rest));
            segments.push((digest_of(&segment), segment));
        }
        Self::new(content, segments)
    }

    /// Joins the segments of a list, which `find` returns by digest. Returns `None` if a segment is missing.
    #[must_use]
    pub fn join(list: &[Digest], find: impl Fn(&Digest) -> Option<Bytes>) -> Option<Self> {
        let parts: Vec<Bytes> = list.iter().map(find).collect::<Option<_>>()?;
        let mut content = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
        for part in &parts {
            content.extend_from_slice(part);
        }
        let content = content.freeze();
        // Parts of an older content would keep all of it in memory, so the segments refer to the new one.
        let mut rest = content.clone();
        let lengths = parts.iter().map(Bytes::len);
        let segments = list
            .iter()
            .zip(lengths)
            .map(|(digest, length)| (*digest, rest.split_to(length)))
            .collect();
        Some(Self::new(content, segments))
    }

    fn new(content: Bytes, segments: Vec<(Digest, Bytes)>) -> Self {
        let list: Bytes = segments.iter().flat_map(|(digest, _)| digest.0).collect();
        let digest = digest_of(&list);
        let mut chunks: HashMap<Digest, Bytes> = segments.into_iter().collect();
        chunks.insert(digest, list);
        Self {
            content,
            digest,
            chunks,
        }
    }
}

/// Parses a list of segments. Returns `None` if its length is not that of a list.
#[must_use]
pub fn parse_list(list: &[u8]) -> Option<Vec<Digest>> {
    let (digests, rest) = list.as_chunks::<DIGEST_BYTES>();
    rest.is_empty()
        .then(|| digests.iter().copied().map(Digest).collect())
}

/// Returns the length of the first segment of a content.
fn segment_length(content: &[u8]) -> usize {
    let longest = content.len().min(MAX_SIZE);
    let mut hash: u64 = 0;
    for (i, byte) in content[..longest].iter().enumerate().skip(MIN_SIZE) {
        hash = (hash << 1).wrapping_add(ADDENDS[usize::from(*byte)]);
        if hash & END_MASK == 0 {
            return i + 1;
        }
    }
    longest
}
