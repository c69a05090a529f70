//! Follows a feed: one node of each data centre reads it often, the others live on relayed reads and
//! read for themselves when those grow old.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{Rng, rng};
use tokio::time::{sleep, timeout};

use crate::{
    board::Vm,
    config::{Index, digest_of},
    feed::{Content, Feed, Reading},
    node::{Core, Shared, configure::fetch_from_peers, take_up},
};

/// Age of the newest read at which the reader of a data centre reads again. With a round of gossip
/// and a fetch on top, a change is in force well within 2 s, the tightest bound of the deployments.
const READ_AT: Duration = Duration::from_millis(700);

/// Age at which the reader of a data centre reads again while that of another one, which the word of
/// each read reaches at once, reads for all.
const SECOND_READ_AT: Duration = Duration::from_millis(1_100);

/// Age at which any node reads for itself: relayed reads are younger while gossip works.
const OWN_READ_AT: Duration = Duration::from_millis(1_500);

/// Jitter of that age, so that nodes that lose their reader do not all read at once.
const OWN_READ_JITTER: Duration = Duration::from_millis(300);

/// How often a node looks how old the newest read is.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a node waits after a read that failed, the first time and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// What is known of the store's order of changes.
#[derive(Debug, Default)]
pub struct Place {
    /// Where the last read stood; nothing has to be read again while the store stands there.
    at: u64,
    /// The generation that it found.
    generation: u64,
}

/// Follows the feed until the node ends.
pub async fn follow(core: Arc<Core>, feed: Feed) {
    let mut place = Place::default();
    let mut failures = 0;
    loop {
        let now = core.clock.now();
        let wait = wait_for(&core, now);
        if !wait.is_zero() {
            // Either way out means that it is time to look.
            let _ = timeout(wait.max(LOOK_EVERY), core.read_now.notified()).await;
            if !core.shared().wants_read && !wait_for(&core, core.clock.now()).is_zero() {
                continue;
            }
        }
        core.shared().wants_read = false;
        if read_once(&core, &feed, &mut place).await {
            if failures > 0 {
                spdlog::info!("feed regained", kv: { failures });
            }
            failures = 0;
            continue;
        }
        failures += 1;
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures.min(8));
        let jitter = rng().random_range(0.7..1.3);
        sleep(pause.min(LONGEST_PAUSE).mul_f64(jitter)).await;
    }
}

/// Returns how long until this node has to read, as far as is known now.
fn wait_for(core: &Core, now: Instant) -> Duration {
    let shared = core.shared();
    let Some(age) = shared.fresh.head_age(now) else {
        return Duration::ZERO;
    };
    let own = Some(&*core.address);
    let due = if shared.delegate(&core.settings.centre).as_deref() != own {
        OWN_READ_AT + OWN_READ_JITTER.mul_f64(rng().random_range(0.0..1.0))
    } else if shared.first_delegate().as_deref() == own {
        READ_AT
    } else {
        SECOND_READ_AT
    };
    due.saturating_sub(age)
}

/// Reads the feed and takes up what it holds, and tells whether it answered.
async fn read_once(core: &Core, feed: &Feed, place: &mut Place) -> bool {
    let sent = core.clock.now();
    let reading = timeout(READ_TIMEOUT, (feed.read)(place.at)).await;
    let reading = match reading {
        Ok(Ok(reading)) => reading,
        Ok(Err(error)) => return lost(core, sent, &error.to_string()),
        Err(_) => return lost(core, sent, "no answer in time"),
    };
    let generation = match &reading.content {
        None => place.generation,
        Some(Content::Empty) => 0,
        Some(Content::Written(content)) => match take_content(core, feed, content) {
            Some(generation) => generation,
            // What can't be decoded is no reason to give up what is held, and no newer word either.
            None => return true,
        },
    };
    *place = Place {
        at: reading.at,
        generation,
    };
    let now = core.clock.now();
    let mut shared = core.shared();
    shared.take_drains(core, &reading);
    shared.fresh.record_own_read(sent, generation, now);
    true
}

fn lost(core: &Core, sent: Instant, error: &str) -> bool {
    let now = core.clock.now();
    let age = core.shared().fresh.head_age(now);
    let age_ms = age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX));
    let took = now.saturating_duration_since(sent).as_millis();
    let took_ms = u64::try_from(took).unwrap_or(u64::MAX);
    spdlog::warn!("feed not read", kv: { error, age_ms, took_ms });
    false
}

/// Decodes a generation and takes it up if it is newer, and returns its number.
fn take_content(core: &Core, feed: &Feed, content: &Bytes) -> Option<u64> {
    let digest = digest_of(content);
    let held = core.shared().fresh.generation();
    if core.shared().manifest == Some(digest) {
        return Some(held);
    }
    let (generation, document) = match (feed.decode)(content) {
        Ok(decoded) => decoded,
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("generation left out", kv: { held, error });
            return None;
        }
    };
    if generation > held {
        let index = Arc::new(Index::new(generation, Arc::new(document)));
        take_up(core, &index, digest, core.clock.now());
        core.keep_chunks([(digest, content.clone())].into());
        spdlog::info!("generation taken up", kv: { generation, held });
        core.describe();
        core.spread.notify_one();
    }
    Some(generation)
}

/// Takes a newer generation up that was heard of: from a peer, or else from the feed.
pub async fn adopt(core: Arc<Core>, feed: Feed) {
    loop {
        core.adopt.notified().await;
        let newer = core.shared().newer;
        let held = core.shared().fresh.generation();
        let Some((_, digest)) = newer.filter(|(generation, _)| *generation > held) else {
            continue;
        };
        match fetch_from_peers(&core, digest).await {
            Some(content) => {
                take_content(&core, &feed, &content);
            }
            None => {
                core.shared().wants_read = true;
                core.read_now.notify_one();
            }
        }
    }
}

impl Shared {
    /// Takes up which data centres are drained, if the reading is no older than what is known.
    pub(super) fn take_drains(&mut self, core: &Core, reading: &Reading) {
        if reading.at <= self.drains_at {
            return;
        }
        self.drains_at = reading.at;
        if self.drained != reading.drained {
            let (before, now) = (self.drained.join(","), reading.drained.join(","));
            let at = reading.at;
            spdlog::info!("drained data centres", kv: { before, now, at });
            self.drained.clone_from(&reading.drained);
            self.board.set_drained(&self.drained);
            core.render(self);
        }
    }

    /// Returns the one of all delegates that reads the feed most often.
    fn first_delegate(&self) -> Option<Arc<str>> {
        self.staying().map(|vm| Arc::clone(&vm.address)).min()
    }

    fn staying(&self) -> impl Iterator<Item = &Vm> {
        let vms = self.board.vms.values();
        vms.filter(|vm| vm.alive && !vm.leaving)
    }

    /// Returns the node of a data centre that reads the feed and gossips with the other ones.
    pub(super) fn delegate(&self, centre: &str) -> Option<Arc<str>> {
        let here = |vm: &&Vm| *self.board.data_centres[vm.data_centre].name == *centre;
        let stays = self.staying().filter(here);
        stays.map(|vm| Arc::clone(&vm.address)).min()
    }
}
