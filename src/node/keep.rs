//! Who keeps which slices of the rates: claims, takeovers, fences and the roster.
//!
//! All of it is agreed through the table and the head alone; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#keepers).

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    board::Board,
    config::{Change, Fence, change},
    hash::hash_of,
    node::{Core, Shared},
    platform::{Condition, PlatformError, Row, Write},
    policy::{
        bucket::{MAX_SLICES, PARTITIONS},
        roster::update_roster,
    },
};

/// The prefix of rows that say who keeps a slice.
pub const KEEPER_PREFIX: &str = "keeper/";

/// How often the controller looks.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// How long a VM must be silent, for everybody, before its keeper is fenced.
const SILENT_FOR: Duration = Duration::from_secs(4);

/// How long another VM must have been the candidate before a slice is handed to it.
const SETTLED_FOR: Duration = Duration::from_secs(3);

/// How long a VM must be silent before it leaves the roster.
const ROSTER_FORGETS: Duration = Duration::from_secs(600);

section! {
    /// A keeper's row.
    pub struct Keeper {
        /// The VM; empty when the last one handed the slice over.
        pub vm: String,
        /// Its incarnation.
        pub incarnation: u64,
    }
}

/// Looks after slices and the roster until the node ends.
pub async fn keep(core: Arc<Core>) {
    let mut looked = false;
    let mut misplaced = HashMap::new();
    loop {
        let jitter = rng().random_range(0.7..1.3);
        sleep(LOOK_EVERY.mul_f64(jitter)).await;
        let now = core.clock.now();
        renew_if_fenced(&core);
        // Before a node is in touch, it would take itself for the only candidate.
        if !core.ready() {
            continue;
        }
        // Rows of this VM's earlier incarnation are taken over even if someone else is the candidate.
        let wanted = wanted(&core);
        if !looked || !wanted.is_empty() {
            looked = claim(&core, &wanted).await.is_ok();
        }
        let _ = give_back(&core, &mut misplaced, now).await;
        let _ = revise_roster(&core).await;
    }
}

impl Core {
    /// Counts slices that this node keeps although another one should.
    #[must_use]
    pub fn misplaced(&self) -> usize {
        let kept = self.rates.owned_slices();
        let shared = self.shared();
        kept.iter()
            .filter(|key| is_misplaced(self, &shared, **key))
            .count()
    }
}

/// Tells whether another node than this one should keep a slice.
fn is_misplaced(core: &Core, shared: &Shared, key: u32) -> bool {
    candidate(shared, key).is_some_and(|vm| vm != core.address)
}

/// A fenced node that is alive after all drops its slices, so that others see them vacant, and may
/// keep slices again as a new incarnation.
fn renew_if_fenced(core: &Core) {
    let document = Arc::clone(&core.view.load().index.document);
    if document.fenced(&core.address, core.epoch()) {
        spdlog::warn!("this keeper was fenced", kv: { epoch = core.epoch() });
        core.renew_epoch();
    }
}

/// Hands slices to VMs that have been better candidates for some time, so that the slices of an
/// organisation come to lie in different data centres.
async fn give_back(
    core: &Core,
    misplaced: &mut HashMap<u32, Instant>,
    now: Instant,
) -> Result<(), PlatformError> {
    let kept = core.rates.owned_slices();
    {
        let shared = core.shared();
        let elsewhere = |key: &u32| is_misplaced(core, &shared, *key);
        misplaced.retain(|key, _| kept.contains(key) && elsewhere(key));
        for key in kept.iter().filter(|key| elsewhere(key)) {
            misplaced.entry(*key).or_insert(now);
        }
    }
    let due = |since: &Instant| now >= *since + SETTLED_FOR;
    let keys: Vec<u32> = misplaced
        .iter()
        .filter(|(_, since)| due(since))
        .map(|(key, _)| *key)
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    // Without the platform nobody could take the slices, so they stay.
    let rows = keeper_rows(core).await?;
    core.rates.release(&keys);
    core.describe();
    release_rows(core, &rows, &keys).await
}

/// Returns slices that nobody alive keeps and for which this node is the candidate.
fn wanted(core: &Core) -> Vec<u32> {
    let shared = core.shared();
    let view = core.view.load();
    let centres = shared.index.document.data_centres.len();
    let slices = MAX_SLICES.min(u32::try_from(centres).unwrap_or(MAX_SLICES).max(1));
    (0..slices * PARTITIONS)
        .filter(|key| !view.owners.contains_key(key))
        .filter(|key| candidate(&shared, *key).as_deref() == Some(&*core.address))
        .collect()
}

/// Chooses the VM that should keep a slice: by rendezvous, in the slice's data centre if possible.
fn candidate(shared: &Shared, key: u32) -> Option<Arc<str>> {
    let board = &shared.board;
    let mut centres: Vec<&Arc<str>> = board
        .vms
        .values()
        .filter(|vm| vm.alive && vm.joined && !vm.leaving)
        .map(|vm| &board.data_centres[vm.data_centre])
        .filter(|c| !c.drained)
        .map(|c| &c.name)
        .collect();
    centres.sort_unstable();
    centres.dedup();
    let home = centres.get((key / PARTITIONS) as usize % centres.len().max(1));
    best(board, key, home.map(|c| &***c)).or_else(|| best(board, key, None))
}

fn best(board: &Board, key: u32, centre: Option<&str>) -> Option<Arc<str>> {
    board
        .vms
        .values()
        .filter(|vm| vm.alive && vm.joined && !vm.leaving)
        .filter(|vm| centre.is_none_or(|c| *board.data_centres[vm.data_centre].name == *c))
        .max_by_key(|vm| hash_of(&(&*vm.address, key)))
        .map(|vm| Arc::clone(&vm.address))
}

fn row_name(key: u32) -> String {
    format!("{KEEPER_PREFIX}{key}")
}

/// Claims what may be claimed, and asks for fences where a keeper is silent.
async fn claim(core: &Core, wanted: &[u32]) -> Result<(), PlatformError> {
    let rows = keeper_rows(core).await?;
    let mut conditions = Vec::new();
    let mut writes = Vec::new();
    let mut claimed = Vec::new();
    let mut silent = HashSet::new();
    let all = MAX_SLICES * PARTITIONS;
    for key in 0..all {
        let row = rows.get(&row_name(key));
        let holder = row.and_then(|r| serde_json::from_str::<Keeper>(&r.value).ok());
        match judge(core, holder.as_ref(), wanted.contains(&key)) {
            Judgement::Leave => {}
            Judgement::Mine => core.rates.acquire(key, false, core.clock.now()),
            Judgement::Silent(vm, incarnation) => {
                silent.insert((vm, incarnation));
            }
            Judgement::Claim => {
                conditions.push(Condition {
                    key: row_name(key),
                    version: row.map_or(0, |r| r.version),
                });
                writes.push(write_keeper(key, &core.address, core.epoch()));
                claimed.push((key, row.is_none()));
            }
        }
    }
    if !writes.is_empty() && core.platform.commit(conditions, writes).await? {
        let now = core.clock.now();
        for (key, first) in claimed {
            core.rates.acquire(key, first, now);
        }
    }
    core.describe();
    for (vm, incarnation) in silent {
        fence(core, &vm, incarnation).await;
    }
    Ok(())
}

fn write_keeper(key: u32, vm: &str, incarnation: u64) -> Write {
    let keeper = Keeper {
        vm: vm.to_owned(),
        incarnation,
    };
    Write {
        key: row_name(key),
        value: serde_json::to_string(&keeper).ok(),
    }
}

enum Judgement {
    Leave,
    Mine,
    Claim,
    Silent(String, u64),
}

fn judge(core: &Core, holder: Option<&Keeper>, wanted: bool) -> Judgement {
    let shared = core.shared();
    let now = core.clock.now();
    let document = &shared.index.document;
    if document.fenced(&core.address, core.epoch()) {
        return Judgement::Leave;
    }
    let Some(holder) = holder else {
        return if wanted {
            Judgement::Claim
        } else {
            Judgement::Leave
        };
    };
    if *holder.vm == *core.address {
        return match holder.incarnation == core.epoch() {
            true => Judgement::Mine,
            // The address is bound by this process, so the earlier incarnation is dead.
            false => Judgement::Claim,
        };
    }
    if !wanted {
        return Judgement::Leave;
    }
    if holder.vm.is_empty() {
        return Judgement::Claim;
    }
    if document.fenced(&holder.vm, holder.incarnation) {
        return match shared.fresh.in_force(now) {
            true => Judgement::Claim,
            false => Judgement::Leave,
        };
    }
    let heard = shared.fresh.last_alive(&holder.vm);
    let since = heard.unwrap_or(shared.fresh.started());
    if now >= since + SILENT_FOR {
        return Judgement::Silent(holder.vm.clone(), holder.incarnation);
    }
    Judgement::Leave
}

/// Writes a generation in which an incarnation keeps nothing.
async fn fence(core: &Core, vm: &str, incarnation: u64) {
    spdlog::warn!("silent keeper is fenced", kv: { vm, incarnation });
    let operation = Change {
        operation: format!("fence-{vm}-{incarnation}-{}", core.incarnation),
    };
    let fence = Fence {
        vm: vm.to_owned(),
        incarnation,
    };
    // A lost race or a platform that is away is tried again at the next look.
    let _ = change(&core.platform, &operation, |document, _| {
        if !document.fenced(vm, incarnation) {
            document.fences.insert(vm.to_owned(), fence);
        }
        Ok(())
    })
    .await;
}

/// Brings the roster up to date, one small change at a time, each after the last is in force.
async fn revise_roster(core: &Core) -> Result<(), PlatformError> {
    let (add, remove) = {
        let shared = core.shared();
        let now = core.clock.now();
        let settled = shared.fresh.roster().is_empty() || shared.fresh.in_force(now);
        if !settled || candidate(&shared, u32::MAX).as_deref() != Some(&*core.address) {
            return Ok(());
        }
        (joiners(&shared), leavers(&shared, now))
    };
    if add.is_empty() && remove.is_empty() {
        return Ok(());
    }
    let held = core.shared().fresh.generation();
    let operation = Change {
        operation: format!("roster-{}-{}", core.incarnation, held + 1),
    };
    let _ = change(&core.platform, &operation, |document, generation| {
        if generation != held + 1 {
            return Err("the generation that is in force is no longer the head".into());
        }
        update_roster(document, generation, &add, &remove);
        Ok(())
    })
    .await;
    Ok(())
}

fn joiners(shared: &Shared) -> Vec<String> {
    let roster = shared.fresh.roster();
    let mut out: Vec<String> = shared
        .board
        .vms
        .values()
        .filter(|vm| vm.alive && vm.joined && !vm.leaving)
        .map(|vm| vm.address.to_string())
        .filter(|vm| !roster.contains(vm))
        .collect();
    out.sort_unstable();
    out
}

fn leavers(shared: &Shared, now: Instant) -> Vec<String> {
    let started = shared.fresh.started();
    let silent = |vm: &&String| {
        let heard = shared.fresh.last_alive(vm).unwrap_or(started);
        now >= heard + ROSTER_FORGETS
    };
    let fenced = |vm: &&String| shared.index.document.fences.contains_key(*vm);
    let quiet = |vm: &&String| {
        let heard = shared.fresh.last_alive(vm).unwrap_or(started);
        fenced(vm) && now >= heard + 2 * SILENT_FOR
    };
    let roster = shared.fresh.roster().iter();
    roster
        .filter(|vm| silent(vm) || quiet(vm))
        .cloned()
        .collect()
}

/// Hands all slices over, so that others need not wait for a fence.
pub async fn hand_over(core: &Core) {
    let kept = core.rates.release_all();
    core.describe();
    // Without the platform, others wait for this VM's next incarnation or a fence.
    if let Ok(rows) = keeper_rows(core).await {
        let _ = release_rows(core, &rows, &kept).await;
    }
}

/// Reads all rows that say who keeps a slice, by name.
async fn keeper_rows(core: &Core) -> Result<HashMap<String, Row>, PlatformError> {
    let rows = core.platform.scan(KEEPER_PREFIX).await?;
    Ok(rows.into_iter().collect())
}

/// Marks slices, which this node must no longer keep, as free.
async fn release_rows(
    core: &Core,
    rows: &HashMap<String, Row>,
    keys: &[u32],
) -> Result<(), PlatformError> {
    let mut conditions = Vec::new();
    let mut writes = Vec::new();
    for key in keys {
        let row = rows.get(&row_name(*key));
        let Some(row) = row.filter(|r| is_own(core, r)) else {
            continue;
        };
        conditions.push(Condition {
            key: row_name(*key),
            version: row.version,
        });
        writes.push(write_keeper(*key, "", 0));
    }
    core.platform.commit(conditions, writes).await?;
    Ok(())
}

fn is_own(core: &Core, row: &Row) -> bool {
    let keeper: Option<Keeper> = serde_json::from_str(&row.value).ok();
    keeper.is_some_and(|k| *k.vm == *core.address && k.incarnation == core.epoch())
}
