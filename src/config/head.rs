//! The head row of the table, through which every change of the configuration is agreed.
//!
//! A change puts its chunks into the object store and then moves the row by compare-and-set, so it
//! is applied whole or not at all; see [docs/DESIGN.md](../../docs/DESIGN.md#configuration).

use std::collections::HashMap;

use bytes::Bytes;

use crate::{
    config::{Digest, Document, Manifest, pack, unpack},
    error::Error,
    platform::{Condition, Platform, PlatformError, Row, Write},
};

/// The key of the head row.
pub const HEAD_ROW: &str = "head";
const OPERATION_PREFIX: &str = "operation/";

section! {
    /// The head row's value.
    pub struct Head {
        /// The generation, from 1.
        pub generation: u64,
        /// The digest of its manifest.
        pub manifest: Digest,
        /// The operation that made it, by which a lost answer is settled.
        pub operation: String,
    }
}

/// What a change did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is this generation.
    Applied(u64),
    /// The document was that way already; the generation stands.
    Unchanged(u64),
}

/// A change that names itself, so that its fate can be found out later.
pub struct Operation {
    /// The operation's id.
    pub id: String,
}

/// Reads the head row and its version.
///
/// # Errors
/// [`PlatformError`] when the table cannot be read or holds something else.
pub async fn read_head(platform: &Platform) -> Result<(Option<Head>, u64), PlatformError> {
    let row = platform.read(HEAD_ROW).await?;
    match row {
        None => Ok((None, 0)),
        Some(Row { version, value }) => {
            let head = serde_json::from_str(&value)
                .map_err(|e| PlatformError::Malformed(e.to_string()))?;
            Ok((Some(head), version))
        }
    }
}

/// Reads a whole generation from the object store, checking every digest.
///
/// # Errors
/// [`PlatformError`] when a part cannot be read or is not what its digest says.
pub async fn read_document(platform: &Platform, digest: Digest) -> Result<Document, PlatformError> {
    let content = fetch(platform, digest).await?;
    let manifest: Manifest =
        serde_json::from_slice(&content).map_err(|e| PlatformError::Malformed(e.to_string()))?;
    let mut contents = HashMap::new();
    for digest in manifest.chunks.values() {
        contents.insert(*digest, fetch(platform, *digest).await?);
    }
    unpack(&manifest, |d| contents.get(d).cloned())
        .map_err(|e| PlatformError::Malformed(e.to_string()))
}

async fn fetch(platform: &Platform, digest: Digest) -> Result<Bytes, PlatformError> {
    let found = platform.get(&digest.to_string()).await?;
    let content = found.ok_or_else(|| PlatformError::Malformed(format!("no object {digest}")))?;
    if super::digest_of(&content) != digest {
        return Err(PlatformError::Malformed(format!("object {digest} differs")));
    }
    Ok(content)
}

/// Changes the configuration by one generation.
///
/// `edit` gets the present document and the generation it will become, and refuses by returning a
/// reason. A change that leaves the document as it is writes nothing.
///
/// # Errors
/// [`Error::Refused`] when nothing was applied, [`Error::Unknown`] when that cannot be told, and
/// [`Error::Platform`] when the platform failed before anything could be applied.
pub async fn apply_change(
    platform: &Platform,
    operation: &Operation,
    edit: impl FnOnce(&mut Document, u64) -> Result<(), String>,
) -> Result<ChangeOutcome, Error> {
    let (head, version) = read_head(platform).await?;
    let before = match &head {
        Some(head) => read_document(platform, head.manifest).await?,
        None => Document::default(),
    };
    let now = head.as_ref().map_or(0, |h| h.generation);
    let mut after = before.clone();
    edit(&mut after, now + 1).map_err(Error::Refused)?;
    if head.is_some() && after == before {
        return Ok(ChangeOutcome::Unchanged(now));
    }
    let known = pack(&before).contents;
    let packed = pack(&after);
    for (digest, content) in &packed.contents {
        if head.is_none() || !known.contains_key(digest) {
            platform.put(&digest.to_string(), content.clone()).await?;
        }
    }
    let next = Head {
        generation: now + 1,
        manifest: packed.digest,
        operation: operation.id.clone(),
    };
    commit_head(platform, &next, version).await
}

async fn commit_head(
    platform: &Platform,
    next: &Head,
    version: u64,
) -> Result<ChangeOutcome, Error> {
    let value = serde_json::to_string(next).map_err(|e| Error::Refused(e.to_string()))?;
    let conditions = vec![Condition {
        key: HEAD_ROW.to_owned(),
        version,
    }];
    let writes = vec![
        Write {
            key: HEAD_ROW.to_owned(),
            value: Some(value),
        },
        Write {
            key: format!("{OPERATION_PREFIX}{}", next.operation),
            value: Some(next.generation.to_string()),
        },
    ];
    match platform.commit(conditions, writes).await {
        Ok(true) => Ok(ChangeOutcome::Applied(next.generation)),
        Ok(false) => Err(conflict_error(platform).await),
        Err(PlatformError::Unreachable(reason)) => {
            Err(Error::Refused(format!("the platform is away: {reason}")))
        }
        Err(_) => resolve_commit(platform, next).await,
    }
}

async fn conflict_error(platform: &Platform) -> Error {
    let now = match read_head(platform).await {
        Ok((Some(head), _)) => format!("generation is now {}", head.generation),
        _ => "the generation has moved on".to_owned(),
    };
    Error::Refused(format!("another operator was first, {now}"))
}

/// Settles a commit whose answer was lost.
///
/// Finding the operation's row proves that it took effect. Its absence proves nothing while the
/// commit may still be on its way, unless the head has moved past the version it was bound to.
async fn resolve_commit(platform: &Platform, next: &Head) -> Result<ChangeOutcome, Error> {
    let operation = &next.operation;
    match find_operation(platform, operation).await {
        Ok(Some(generation)) => return Ok(ChangeOutcome::Applied(generation)),
        Ok(None) => {}
        Err(_) => return Err(unknown_outcome(operation)),
    }
    match read_head(platform).await {
        Ok((Some(head), _)) if head.generation >= next.generation => {
            match find_operation(platform, operation).await {
                Ok(Some(generation)) => Ok(ChangeOutcome::Applied(generation)),
                Ok(None) => Err(conflict_error(platform).await),
                Err(_) => Err(unknown_outcome(operation)),
            }
        }
        _ => Err(unknown_outcome(operation)),
    }
}

fn unknown_outcome(operation: &str) -> Error {
    Error::Unknown(format!(
        "the platform did not answer; run `marjoramdyke status --operation {operation}` to find out"
    ))
}

/// Finds the generation that an operation made, if it made one.
///
/// # Errors
/// [`PlatformError`] when the table cannot be read.
pub async fn find_operation(
    platform: &Platform,
    operation: &str,
) -> Result<Option<u64>, PlatformError> {
    let row = platform
        .read(&format!("{OPERATION_PREFIX}{operation}"))
        .await?;
    Ok(row.and_then(|r| r.value.parse().ok()))
}
