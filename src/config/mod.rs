//! The configuration: the operators' file and its validation, and the generations made from it in
//! the object store.

mod chunk;
mod document;
mod file;
mod head;
mod index;
mod key;
mod segment;

pub use self::{
    chunk::{ChunkError, Digest, Manifest, Packed, digest_of, pack, unpack},
    document::{
        Access, DataCentre, Document, Fence, Key, Organisation, Portion, Repeat, Route, Service,
        default_health, partition_of,
    },
    file::{Declarations, check},
    head::{
        ChangeOutcome, HEAD_ROW, Head, Operation, apply_change, find_operation, read_document,
        read_head,
    },
    index::{Index, RouteMatch},
    key::{GrantedKey, KEY_HEADER, digest_key, digests_equal, generate_key},
    segment::{Segments, parse_list},
};
