//! The head row of the table, which names the newest generation of the configuration.
//!
//! A change first writes its chunks to the object store and then updates the row by
//! compare-and-set, so it is applied as a whole or not at all; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#configuration).

use std::collections::HashMap;

use bytes::Bytes;

use crate::{
    config::{Digest, Document, Manifest, pack, unpack},
    error::Error,
    platform::{Condition, Platform, PlatformError, Row, Write},
};

/// The key of the head row.
pub const HEAD_ROW: &str = "head";

/// The prefix of the rows that hold the generation that an operation created.
const OPERATION_PREFIX: &str = "operation/";

section! {
    /// The value of the head row.
    pub struct Head {
        /// The generation, counted from 1.
        pub generation: u64,
        /// The digest of the generation's manifest.
        pub manifest: Digest,
        /// The id of the operation that created the generation.
        pub operation: String,
    }
}

/// The outcome of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was applied as this generation.
    Applied(u64),
    /// The change did not alter the document, so this generation remains the newest one.
    Unchanged(u64),
}

/// Identifies a change, so that [`find_operation`] can find its outcome later.
pub struct Operation {
    /// The unique id of the operation.
    pub id: String,
}

/// Reads the head row and its version.
///
/// # Errors
/// [`PlatformError`] when the table cannot be read or the row is malformed.
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

/// Reads all chunks of a generation from the object store and checks their digests.
///
/// # Errors
/// [`PlatformError`] when the manifest or a chunk cannot be read, is malformed or does not match
/// its digest.
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
    let content =
        found.ok_or_else(|| PlatformError::Malformed(format!("object {digest} does not exist")))?;
    if super::digest_of(&content) != digest {
        return Err(PlatformError::Malformed(format!(
            "object {digest} does not match its digest"
        )));
    }
    Ok(content)
}

/// Applies a change to the configuration as a new generation.
///
/// `edit` gets the current document and the number of the new generation; it refuses the change by
/// returning a reason. If it leaves the document unchanged, nothing is written.
///
/// # Errors
/// [`Error::Refused`] when nothing was applied, [`Error::Unknown`] when it is unknown whether the
/// change was applied, and [`Error::Platform`] when the platform failed before the commit.
pub async fn apply_change(
    platform: &Platform,
    operation: &Operation,
    edit: impl FnOnce(&mut Document, u64) -> Result<(), String>,
) -> Result<ChangeOutcome, Error> {
    let (head, version) = read_head(platform).await?;
    let old = match &head {
        Some(head) => read_document(platform, head.manifest).await?,
        None => Document::default(),
    };
    let current = head.as_ref().map_or(0, |h| h.generation);
    let mut new = old.clone();
    edit(&mut new, current + 1).map_err(Error::Refused)?;
    if head.is_some() && new == old {
        return Ok(ChangeOutcome::Unchanged(current));
    }
    let stored = pack(&old).contents;
    let packed = pack(&new);
    for (digest, content) in &packed.contents {
        if head.is_none() || !stored.contains_key(digest) {
            platform.put(&digest.to_string(), content.clone()).await?;
        }
    }
    let next = Head {
        generation: current + 1,
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
        Err(PlatformError::Unreachable(reason)) => Err(Error::Refused(format!(
            "the platform cannot be reached: {reason}"
        ))),
        Err(_) => resolve_commit(platform, next).await,
    }
}

async fn conflict_error(platform: &Platform) -> Error {
    let current = match read_head(platform).await {
        Ok((Some(head), _)) => format!("generation is now {}", head.generation),
        _ => "the generation has changed".to_owned(),
    };
    Error::Refused(format!("another change was applied first, {current}"))
}

/// Finds the outcome of a commit whose response was lost.
///
/// If the operation's row exists, the commit took effect. If it doesn't, the commit may still be in
/// transit, unless the head row has changed since, so that the commit's condition can no longer
/// hold.
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

/// Returns the generation that an operation created, if any.
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
