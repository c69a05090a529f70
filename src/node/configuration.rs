//! Fetches new generations of the configuration and installs them, each as a whole and never an older
//! one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{Rng, rng, seq::SliceRandom};
use tokio::{
    task::spawn_blocking,
    time::{sleep, timeout},
};

use crate::{
    config::{Digest, Index, Manifest, digest_of, read_head, unpack},
    fleet::codec::FetchRequest,
    node::{Core, NewerGeneration, Shared},
};

/// Most reads of the head per second by the whole fleet.
const MAX_HEAD_READS: f64 = 150.0;

/// The shortest time between two reads of the head by one node.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for fetching one chunk from a peer. Many nodes may fetch from one with a slow link at once; a peer that
/// doesn't respond at all is noticed earlier by the pings on the link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers that are asked for a chunk before the object store is.
const FETCH_PEERS: usize = 3;

/// Delay before a failed installation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the head at jittered intervals, so that the whole fleet stays within [`MAX_HEAD_READS`].
pub async fn poll_head(core: Arc<Core>) {
    loop {
        poll_head_once(&core).await;
        let vms = core.shared().freshness.roster().len();
        #[expect(clippy::cast_precision_loss)]
        let interval = Duration::from_secs_f64(vms as f64 / MAX_HEAD_READS);
        let jitter = rng().random_range(0.8..1.2);
        sleep(MIN_POLL_INTERVAL.max(interval).mul_f64(jitter)).await;
    }
}

async fn poll_head_once(core: &Core) {
    let sent = core.clock.now();
    let Ok((head, _)) = read_head(&core.platform).await else {
        return;
    };
    let Some(head) = head else { return };
    let now = core.clock.now();
    let mut shared = core.shared();
    shared.freshness.record_own_read(sent, head.generation, now);
    if head.generation > shared.newest_known().max(shared.freshness.generation()) {
        shared.newer = Some(NewerGeneration {
            generation: head.generation,
            manifest: head.manifest,
            holder: None,
        });
        core.fetch_now.notify_one();
    }
    drop(shared);
    core.update_record();
}

/// Installs newer generations as they are announced.
pub async fn install_newer(core: Arc<Core>) {
    loop {
        let Some(newer) = core.newer_generation() else {
            core.fetch_now.notified().await;
            continue;
        };
        if fetch_and_install(&core, newer.generation, newer.manifest)
            .await
            .is_none()
        {
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn fetch_and_install(core: &Core, generation: u64, digest: Digest) -> Option<()> {
    let content = fetch(core, digest).await?;
    let manifest: Manifest = serde_json::from_slice(&content).ok()?;
    let mut contents = core.chunks();
    for digest in manifest.chunks.values() {
        if !contents.contains_key(digest) {
            contents.insert(*digest, fetch(core, *digest).await?);
        }
    }
    // With the largest configuration this takes tenths of a second, which must not delay requests.
    let (index, contents) = spawn_blocking(move || {
        let document = unpack(&manifest, |d| contents.get(d).cloned()).ok()?;
        contents.retain(|d, _| manifest.chunks.values().any(|c| c == d));
        Some((
            Arc::new(Index::new(generation, Arc::new(document))),
            contents,
        ))
    })
    .await
    .ok()??;
    let mut contents = contents;
    let now = core.clock.now();
    install(core, &index, digest, now);
    contents.insert(digest, content);
    core.set_chunks(contents);
    spdlog::info!("generation installed", kv: { generation });
    core.update_record();
    Some(())
}

impl Core {
    /// Returns the newest announced generation if it is newer than the held one.
    pub(super) fn newer_generation(&self) -> Option<NewerGeneration> {
        let shared = self.shared();
        let held = shared.freshness.generation();
        shared.newer.clone().filter(|newer| newer.generation > held)
    }
}

impl Shared {
    /// Returns the newest generation that has been announced, which may be held by now; 0 if there is none.
    pub(super) fn newest_known(&self) -> u64 {
        self.newer.as_ref().map_or(0, |newer| newer.generation)
    }
}

/// Installs a generation, unless this node already holds it or a newer one.
pub(super) fn install(core: &Core, index: &Arc<Index>, manifest: Digest, now: Instant) {
    let mut shared = core.shared();
    if index.generation <= shared.freshness.generation() {
        return;
    }
    let document = Arc::clone(&index.document);
    shared.index = Arc::clone(index);
    shared.manifest = Some(manifest);
    match core.feed.is_some() {
        true => {
            let drained = shared.drained.clone();
            shared.board.set_drained(&drained);
        }
        false => shared.board.apply_drains(&document),
    }
    shared
        .freshness
        .install(index.generation, &document.roster, now);
    // The view is published while the lock is held, before any request can use the freshness of the
    // new generation.
    core.publish_view(&mut shared);
}

/// Fetches a chunk from peers, or else from the object store, and checks its digest.
async fn fetch(core: &Core, digest: Digest) -> Option<Bytes> {
    if let Some(content) = fetch_from_peers(core, digest).await {
        return Some(content);
    }
    let content = core.platform.get(&digest.to_string()).await.ok()??;
    (digest_of(&content) == digest).then_some(content)
}

/// Fetches a chunk from a few peers, those of this data centre first, and checks its digest.
async fn fetch_from_peers(core: &Core, digest: Digest) -> Option<Bytes> {
    let mut peers: Vec<Arc<str>> = {
        let view = core.view.load();
        view.peers
            .iter()
            .map(|vm| Arc::clone(&vm.address))
            .collect()
    };
    peers.shuffle(&mut rng());
    let local = core.view.load().local_nodes.clone();
    peers.sort_by_key(|peer| !local.iter().any(|vm| vm.address == *peer));
    for peer in peers.iter().take(FETCH_PEERS) {
        if let Some(content) = fetch_from(core, peer, digest).await {
            return Some(content);
        }
    }
    None
}

pub(super) async fn fetch_from(core: &Core, peer: &str, digest: Digest) -> Option<Bytes> {
    let call = async {
        let link = core.links.get(peer).await.ok()?;
        let request = FetchRequest {
            digest: digest.0.to_vec(),
        };
        let reply = link.client(peer).fetch(request).await.ok()?.into_inner();
        reply.found.then_some(reply.content)
    };
    let content = timeout(FETCH_TIMEOUT, call).await.ok()??;
    (digest_of(&content) == digest).then(|| content.into())
}
