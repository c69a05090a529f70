//! The stored form of a generation: content-addressed chunks and a manifest that lists them.
//!
//! Organisations are distributed over chunks by hash, so that withdrawing a key changes only one
//! chunk and the manifest; see [docs/DESIGN.md](../../docs/DESIGN.md#configuration).

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, SeqAccess, Visitor},
    ser::SerializeTuple,
};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::config::{DataCentre, Document, Fence, Key, Organisation, Route, Service, partition_of};

/// Number of chunks that organisations are distributed over.
const ORGANISATION_CHUNKS: u32 = 256;

/// Name of the chunk with the data centres, services, routes and fences.
const BASE: &str = "base";

/// Name of the chunk with the roster.
const ROSTER: &str = "roster";

value! {
    /// SHA-256 digest of a chunk, which is also its name in the object store.
    pub struct Digest(pub [u8; 32]);
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl Digest {
    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut out = [0; 32];
        for (i, byte) in out.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(out))
    }

    /// Converts raw bytes; returns `None` if there are not exactly 32.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| D::Error::custom("a digest must be 64 hexadecimal digits"))
    }
}

/// Returns the digest of a chunk's content.
#[must_use]
pub fn digest_of(content: &[u8]) -> Digest {
    Digest(Sha256::digest(content).into())
}

/// Why a document could not be read from its chunks.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// A chunk that the manifest lists does not exist.
    #[error("chunk {0} is missing")]
    Missing(String),
    /// The content of a chunk does not have the format of this version.
    #[error("chunk {name}: {source}")]
    Malformed {
        /// The name of the chunk.
        name: String,
        /// The decoder's error.
        source: serde_json::Error,
    },
}

section! {
    /// The names and digests of the chunks of a generation.
    #[derive(Default)]
    pub struct Manifest {
        /// Digests by chunk name.
        pub chunks: BTreeMap<String, Digest>,
    }

    struct Base {
        data_centres: Vec<DataCentre>,
        services: Vec<Service>,
        routes: Vec<Route>,
        fences: Vec<Fence>,
    }

    struct Roster {
        vms: Vec<String>,
        rostered: u64,
    }
}

/// A document in the form in which the object store holds it.
pub struct Packed {
    /// The digest of the manifest.
    pub digest: Digest,
    /// The manifest itself.
    pub manifest: Manifest,
    /// The contents of all chunks and of the manifest, by digest.
    pub contents: BTreeMap<Digest, Bytes>,
}

/// Encodes a document as chunks and a manifest.
///
/// # Panics
/// Never: every document can be encoded.
#[must_use]
pub fn pack(document: &Document) -> Packed {
    let mut packed = Packed {
        digest: Digest([0; 32]),
        manifest: Manifest::default(),
        contents: BTreeMap::new(),
    };
    let base = Base {
        data_centres: document.data_centres.values().cloned().collect(),
        services: document.services.values().cloned().collect(),
        routes: document.routes.clone(),
        fences: document.fences.values().cloned().collect(),
    };
    let roster = Roster {
        vms: document.roster.clone(),
        rostered: document.rostered,
    };
    add_chunk(&mut packed, BASE.to_owned(), &base);
    add_chunk(&mut packed, ROSTER.to_owned(), &roster);
    let mut groups: BTreeMap<u32, Vec<&Organisation>> = BTreeMap::new();
    for organisation in document.organisations.values() {
        let chunk = partition_of(&organisation.name, ORGANISATION_CHUNKS);
        groups.entry(chunk).or_default().push(organisation);
    }
    for (chunk, group) in groups {
        add_chunk(&mut packed, format!("organisations/{chunk}"), &group);
    }
    let content = encode(&packed.manifest);
    packed.digest = digest_of(&content);
    packed.contents.insert(packed.digest, content);
    packed
}

fn add_chunk<T: Serialize>(packed: &mut Packed, name: String, value: &T) {
    let content = encode(value);
    let digest = digest_of(&content);
    packed.manifest.chunks.insert(name, digest);
    packed.contents.insert(digest, content);
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("every document can be encoded")
        .into()
}

/// Decodes a document from its chunks, which `find` returns by digest.
///
/// # Errors
/// [`ChunkError`] when a chunk is missing or malformed.
pub fn unpack(
    manifest: &Manifest,
    find: impl Fn(&Digest) -> Option<Bytes>,
) -> Result<Document, ChunkError> {
    let mut document = Document::default();
    for (name, digest) in &manifest.chunks {
        let content = find(digest).ok_or_else(|| ChunkError::Missing(name.clone()))?;
        apply_chunk(&mut document, name, &content).map_err(|source| ChunkError::Malformed {
            name: name.clone(),
            source,
        })?;
    }
    Ok(document)
}

fn apply_chunk(
    document: &mut Document,
    name: &str,
    content: &[u8],
) -> Result<(), serde_json::Error> {
    match name {
        BASE => {
            let base: Base = serde_json::from_slice(content)?;
            document.data_centres = by_name(base.data_centres, |d| &d.name);
            document.services = by_name(base.services, |s| &s.name);
            document.fences = by_name(base.fences, |f| &f.vm);
            document.routes = base.routes;
        }
        ROSTER => {
            let roster: Roster = serde_json::from_slice(content)?;
            document.roster = roster.vms;
            document.rostered = roster.rostered;
        }
        _ => {
            let group: Vec<Organisation> = serde_json::from_slice(content)?;
            document.organisations.extend(by_name(group, |o| &o.name));
        }
    }
    Ok(())
}

fn by_name<T>(list: Vec<T>, name: fn(&T) -> &String) -> BTreeMap<String, T> {
    list.into_iter().map(|t| (name(&t).clone(), t)).collect()
}

impl Serialize for Organisation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(7)?;
        tuple.serialize_element(&self.name)?;
        tuple.serialize_element(&self.rate)?;
        tuple.serialize_element(&self.burst)?;
        tuple.serialize_element(&self.weight)?;
        tuple.serialize_element(&self.priority)?;
        tuple.serialize_element(&self.keys)?;
        tuple.serialize_element(&self.withdrawn)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Organisation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(7, OrganisationVisitor)
    }
}

struct OrganisationVisitor;

impl<'de> Visitor<'de> for OrganisationVisitor {
    type Value = Organisation;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of name, rate, burst, weight, priority, keys and withdrawn keys")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Organisation, A::Error> {
        let missing = || A::Error::custom("the organisation has too few elements");
        Ok(Organisation {
            name: seq.next_element()?.ok_or_else(missing)?,
            rate: seq.next_element()?.ok_or_else(missing)?,
            burst: seq.next_element()?.ok_or_else(missing)?,
            weight: seq.next_element()?.ok_or_else(missing)?,
            priority: seq.next_element()?.ok_or_else(missing)?,
            keys: seq.next_element()?.ok_or_else(missing)?,
            withdrawn: seq.next_element()?.ok_or_else(missing)?,
        })
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(3)?;
        tuple.serialize_element(&self.id)?;
        tuple.serialize_element(&Digest(self.digest))?;
        tuple.serialize_element(&self.granted)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (id, Digest(digest), granted) = <(String, Digest, bool)>::deserialize(deserializer)?;
        Ok(Self {
            id,
            digest,
            granted,
        })
    }
}
