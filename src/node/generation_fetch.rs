//! Fetches newer generations of a feed from the nodes that announce them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use bytes::Bytes;
use futures::{StreamExt, stream};

use crate::{
    config::{Digest, Segments, parse_list},
    feed::Feed,
    node::{Core, NewerGeneration, configuration::fetch_from, feed_reader::install_content},
};

/// Most segments that are fetched from the announcing node while the feed can be read, some 100 KB. Nodes that need
/// more read the feed, so that a node with a slow link doesn't have to send a large configuration to many others.
const MAX_PEER_SEGMENTS: usize = 32;

/// Number of segments that are fetched at once.
const FETCH_CONCURRENCY: usize = 8;

/// A generation that is being fetched.
#[derive(Default)]
struct Download {
    /// The digest of its list of segments, which identifies it.
    manifest: Option<Digest>,
    /// The digests of its segments in order; empty until they are known.
    list: Vec<Digest>,
    /// The segments fetched so far, of this generation or of earlier ones that were not completed.
    fetched: HashMap<Digest, Bytes>,
    /// Whether a read of the feed was requested for this generation.
    read_requested: bool,
}

/// Fetches newer generations as they are announced.
///
/// A node fetches the segments that differ from the generation that it holds, from the node that announced the
/// newer one. If many differ, it reads the feed instead; but if the feed can't be read, it fetches all segments. Each
/// announcement resumes the fetch where the last one ended.
pub async fn fetch_newer(core: Arc<Core>, feed: Feed) {
    let mut download = Download::default();
    loop {
        core.fetch_now.notified().await;
        let Some(newer) = core.newer_generation() else {
            continue;
        };
        let Some(holder) = newer.holder.clone() else {
            continue;
        };
        let requested = core.clock.now();
        download.start(newer.manifest);
        if let Some(segments) = download.resume(&core, &newer, &holder).await {
            let transfer = core.clock.now().saturating_duration_since(requested);
            install_content(&core, &feed, segments, "peer", transfer);
            download = Download::default();
        }
    }
}

impl Download {
    /// Starts to fetch an announced generation, unless that has been started before.
    fn start(&mut self, manifest: Digest) {
        if self.manifest == Some(manifest) {
            return;
        }
        *self = Self {
            manifest: Some(manifest),
            fetched: std::mem::take(&mut self.fetched),
            ..Self::default()
        };
    }

    /// Fetches what is missing from a node that holds the generation. Returns the generation's segments once they are
    /// complete.
    async fn resume(
        &mut self,
        core: &Core,
        newer: &NewerGeneration,
        holder: &str,
    ) -> Option<Segments> {
        if self.list.is_empty() {
            let list = fetch_from(core, holder, newer.manifest).await;
            self.list = list.and_then(|l| parse_list(&l)).unwrap_or_default();
        }
        let held = core.chunks();
        let missing: HashSet<Digest> = self
            .list
            .iter()
            .filter(|d| !held.contains_key(*d) && !self.fetched.contains_key(*d))
            .copied()
            .collect();
        let many = self.list.is_empty() || missing.len() > MAX_PEER_SEGMENTS;
        if many && self.request_read(core) {
            return None;
        }
        core.shared().feed.fetch_started = Some(core.clock.now());
        self.fetch_segments(core, holder, missing).await;
        core.shared().feed.fetch_started = None;
        let find = |digest: &Digest| self.fetched.get(digest).or(held.get(digest)).cloned();
        let complete = (!self.list.is_empty())
            .then(|| Segments::join(&self.list, find))
            .flatten();
        if complete.is_none() {
            let (generation, segments) = (newer.generation, self.list.len());
            let fetched = self.fetched.len();
            spdlog::warn!("newer generation not fetched completely", kv: { generation, node = holder, segments, fetched });
        }
        complete
    }

    /// Fetches segments from a node until one can't be fetched there: the node may have ended, or hold a newer
    /// generation by now.
    async fn fetch_segments(&mut self, core: &Core, holder: &str, missing: HashSet<Digest>) {
        let fetches = missing.into_iter().map(|digest| async move {
            let segment = fetch_from(core, holder, digest).await;
            segment.map(|segment| (digest, segment))
        });
        let mut results = stream::iter(fetches).buffer_unordered(FETCH_CONCURRENCY);
        while let Some(Some((digest, segment))) = results.next().await {
            self.fetched.insert(digest, segment);
        }
    }

    /// Requests a read of the feed once for this generation. Returns false if the feed can't be read.
    fn request_read(&mut self, core: &Core) -> bool {
        let mut shared = core.shared();
        if shared.feed.failing {
            return false;
        }
        if !self.read_requested {
            self.read_requested = true;
            shared.feed.read_requested = true;
            core.read_now.notify_one();
        }
        true
    }
}
