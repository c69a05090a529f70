//! The platform's table and object store, behind one narrow struct of functions.
//!
//! Another platform is another file beside [`http_platform`], which fills the same struct.

mod client;

use std::{fmt::Display, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::StatusCode;
use thiserror::Error;

pub use self::client::{HttpClient, http_platform};
use crate::net::NetError;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Error)]
pub enum PlatformError {
    /// Nothing was sent.
    #[error("cannot be reached: {0}")]
    Unreachable(String),
    /// The call may have taken effect.
    #[error("did not answer: {0}")]
    NoAnswer(String),
    /// The platform answered with something else than agreed.
    #[error("unexpected answer: {0}")]
    Malformed(String),
}

impl From<NetError> for PlatformError {
    fn from(error: NetError) -> Self {
        match error {
            NetError::Connect(e) => Self::Unreachable(e.to_string()),
            other => Self::NoAnswer(other.to_string()),
        }
    }
}

/// Returns the error of an answer that is not what was agreed.
pub fn malformed(error: impl Display) -> PlatformError {
    PlatformError::Malformed(error.to_string())
}

/// Checks that a call was carried out.
///
/// # Errors
/// [`PlatformError::NoAnswer`] with any other status.
pub fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        return Ok(());
    }
    Err(PlatformError::NoAnswer(format!("status {status}")))
}

section! {
    /// A row of the table.
    pub struct Row {
        /// Rises with each write; 0 stands for a row that is not there.
        pub version: u64,
        /// The value.
        pub value: String,
    }

    /// What must hold for a commit to be carried out.
    pub struct Condition {
        /// The row.
        pub key: String,
        /// The version it must have; 0 when it must not exist.
        pub version: u64,
    }

    /// One write of a commit.
    pub struct Write {
        /// The row.
        pub key: String,
        /// The new value; `None` deletes the row.
        pub value: Option<String>,
    }
}

/// Rows with their keys.
pub type Rows = Vec<(String, Row)>;

/// The result of a call.
pub type PlatformFuture<T> = BoxFuture<'static, Result<T, PlatformError>>;

/// The functions of a platform.
#[derive(Clone)]
pub struct Platform {
    pub(crate) read: Arc<dyn Fn(String) -> PlatformFuture<Option<Row>> + Send + Sync>,
    pub(crate) scan: Arc<dyn Fn(String) -> PlatformFuture<Rows> + Send + Sync>,
    #[expect(clippy::type_complexity)]
    pub(crate) commit:
        Arc<dyn Fn(Vec<Condition>, Vec<Write>) -> PlatformFuture<bool> + Send + Sync>,
    pub(crate) get: Arc<dyn Fn(String) -> PlatformFuture<Option<Bytes>> + Send + Sync>,
    pub(crate) put: Arc<dyn Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync>,
}

impl Platform {
    /// Puts a platform together.
    #[must_use]
    pub fn new(
        read: impl Fn(String) -> PlatformFuture<Option<Row>> + Send + Sync + 'static,
        scan: impl Fn(String) -> PlatformFuture<Rows> + Send + Sync + 'static,
        commit: impl Fn(Vec<Condition>, Vec<Write>) -> PlatformFuture<bool> + Send + Sync + 'static,
        get: impl Fn(String) -> PlatformFuture<Option<Bytes>> + Send + Sync + 'static,
        put: impl Fn(String, Bytes) -> PlatformFuture<()> + Send + Sync + 'static,
    ) -> Self {
        Self {
            read: Arc::new(read),
            scan: Arc::new(scan),
            commit: Arc::new(commit),
            get: Arc::new(get),
            put: Arc::new(put),
        }
    }

    /// Reads a row.
    ///
    /// # Errors
    /// [`PlatformError`] when the table gives no answer.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        (self.read)(key.to_owned()).await
    }

    /// Reads all rows whose keys have a prefix.
    ///
    /// # Errors
    /// [`PlatformError`] when the table gives no answer.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<(String, Row)>, PlatformError> {
        (self.scan)(prefix.to_owned()).await
    }

    /// Carries out all writes if all conditions hold, and tells whether it did.
    ///
    /// # Errors
    /// [`PlatformError`]; only [`PlatformError::Unreachable`] proves that nothing was written.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<bool, PlatformError> {
        (self.commit)(conditions, writes).await
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`PlatformError`] when the store gives no answer.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        (self.get)(name.to_owned()).await
    }

    /// Writes an object.
    ///
    /// # Errors
    /// [`PlatformError`] when the store gives no answer.
    pub async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        (self.put)(name.to_owned(), content).await
    }
}
