//! The operators' declarations: their file, its checks, and its form in the object store.

mod chunk;
mod document;
mod file;
mod head;
mod index;
mod key;

pub use self::{
    chunk::{ChunkError, Digest, Manifest, Packed, digest_of, pack, unpack},
    document::{
        Access, DataCentre, Document, Fence, Key, Organisation, Portion, Repeat, Route, Service,
        partition_of,
    },
    file::{Declared, check},
    head::{Change, HEAD_ROW, Head, Outcome, change, find_operation, read_document, read_head},
    index::{Index, Matched},
    key::{GrantedKey, KEY_HEADER, digest_key, grant, same_digest},
};
