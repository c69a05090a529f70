//! How a node learns of generations and takes them up, whole and never backwards.

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
    node::Core,
};

/// Reads of the head that the whole fleet makes, a second, at most.
const HEAD_READS: f64 = 150.0;

/// The shortest time between two reads of the head by one node.
const SHORTEST_POLL: Duration = Duration::from_millis(1_000);

/// How long one chunk is waited for from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are asked for a chunk before the object store is.
const FETCH_PEERS: usize = 3;

/// How long the task waits before it tries again what failed.
const TRY_AGAIN: Duration = Duration::from_millis(200);

/// Reads the head at jittered intervals, so that the whole fleet stays within [`HEAD_READS`].
pub async fn poll(core: Arc<Core>) {
    loop {
        poll_once(&core).await;
        let vms = core.shared().fresh.roster().len();
        #[expect(clippy::cast_precision_loss)]
        let fair = Duration::from_secs_f64(vms as f64 / HEAD_READS);
        let jitter = rng().random_range(0.8..1.2);
        sleep(SHORTEST_POLL.max(fair).mul_f64(jitter)).await;
    }
}

async fn poll_once(core: &Core) {
    let sent = core.clock.now();
    let Ok((head, _)) = read_head(&core.platform).await else {
        return;
    };
    let Some(head) = head else { return };
    let now = core.clock.now();
    let mut shared = core.shared();
    shared.fresh.record_own_read(sent, head.generation, now);
    let newer = head.generation > shared.fresh.generation();
    if newer
        && shared
            .newer
            .is_none_or(|(known, _)| known < head.generation)
    {
        shared.newer = Some((head.generation, head.manifest));
        core.adopt.notify_one();
    }
    drop(shared);
    core.describe();
}

/// Takes newer generations up as they are heard of.
pub async fn adopt(core: Arc<Core>) {
    loop {
        let newer = core.shared().newer;
        let held = core.shared().fresh.generation();
        let Some((generation, digest)) = newer.filter(|(g, _)| *g > held) else {
            core.adopt.notified().await;
            continue;
        };
        if adopt_one(&core, generation, digest).await.is_none() {
            sleep(TRY_AGAIN).await;
        }
    }
}

async fn adopt_one(core: &Core, generation: u64, digest: Digest) -> Option<()> {
    let content = fetch(core, digest).await?;
    let manifest: Manifest = serde_json::from_slice(&content).ok()?;
    let mut contents = core.chunks();
    for digest in manifest.chunks.values() {
        if !contents.contains_key(digest) {
            contents.insert(*digest, fetch(core, *digest).await?);
        }
    }
    // At full size this takes tenths of a second, which no request should wait for.
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
    take_up(core, &index, digest, now);
    contents.insert(digest, content);
    core.keep_chunks(contents);
    spdlog::info!("generation taken up", kv: { generation });
    core.describe();
    Some(())
}

/// Takes a generation up, unless it is older than the one that is held.
pub(super) fn take_up(core: &Core, index: &Arc<Index>, manifest: Digest, now: Instant) {
    let mut shared = core.shared();
    if index.generation <= shared.fresh.generation() {
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
        .fresh
        .install(index.generation, &document.roster, now);
    // The view goes before the freshness that the new generation brings can be used.
    core.render(&mut shared);
}

/// Fetches a chunk from peers, or else from the object store, and checks its digest.
async fn fetch(core: &Core, digest: Digest) -> Option<Bytes> {
    if let Some(content) = fetch_from_peers(core, digest).await {
        return Some(content);
    }
    let content = core.platform.get(&digest.to_string()).await.ok()??;
    (digest_of(&content) == digest).then_some(content)
}

/// Fetches a chunk from peers, those of the own data centre first, and checks its digest.
pub(super) async fn fetch_from_peers(core: &Core, digest: Digest) -> Option<Bytes> {
    let mut peers: Vec<Arc<str>> = {
        let view = core.view.load();
        view.peers
            .iter()
            .map(|vm| Arc::clone(&vm.address))
            .collect()
    };
    peers.shuffle(&mut rng());
    let near = core.view.load().local_nodes.clone();
    peers.sort_by_key(|peer| !near.iter().any(|vm| vm.address == *peer));
    for peer in peers.iter().take(FETCH_PEERS) {
        if let Some(content) = fetch_from(core, peer, digest).await {
            return Some(content);
        }
    }
    None
}

async fn fetch_from(core: &Core, peer: &str, digest: Digest) -> Option<Bytes> {
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
