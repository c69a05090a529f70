//! Ownership of the slices of rates: claims, takeovers and fences, and upkeep of the roster.
//!
//! A slice is identified by its number times [`PARTITIONS`] plus its partition. Nodes coordinate
//! through the platform's table and the head alone; see
//! [docs/DESIGN.md](../../docs/DESIGN.md#ownership-of-slices).

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, rng};
use tokio::time::sleep;

use crate::{
    board::Board,
    config::{Fence, Operation, apply_change},
    hash::hash_of,
    node::{Core, Shared},
    platform::{Condition, PlatformError, Row, Write},
    policy::{
        bucket::{MAX_SLICES, PARTITIONS},
        roster::change_roster,
    },
};

/// The prefix of the rows that name the owner of a slice.
pub const OWNER_PREFIX: &str = "keeper/";

/// How often ownership and the roster are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a VM must be silent, both towards this node and according to the gossip of others, before
/// it is fenced as an owner of slices.
const FENCE_AFTER: Duration = Duration::from_secs(4);

/// How long a slice must have been misplaced before it is released.
const RELEASE_AFTER: Duration = Duration::from_secs(3);

/// How long a VM must be silent before it is removed from the roster.
const REMOVE_AFTER: Duration = Duration::from_secs(600);

section! {
    /// The row that names the owner of a slice.
    pub struct SliceOwner {
        /// The owner's VM; empty if the last owner has released the slice.
        pub vm: String,
        /// The owner's epoch.
        pub incarnation: u64,
    }
}

/// Claims and releases slices and updates the roster until the process ends.
pub async fn maintain(core: Arc<Core>) {
    let mut rows_checked = false;
    let mut misplaced = HashMap::new();
    loop {
        let jitter = rng().random_range(0.7..1.3);
        sleep(CHECK_INTERVAL.mul_f64(jitter)).await;
        let now = core.clock.now();
        renew_if_fenced(&core);
        // Before it is in contact with others, a node would consider itself the only candidate.
        if !core.ready() {
            continue;
        }
        // The first check always reads the rows: those of this VM's earlier incarnation are claimed
        // even if another VM is the candidate.
        let claimable = claimable_slices(&core);
        if !rows_checked || !claimable.is_empty() {
            rows_checked = claim_slices(&core, &claimable).await.is_ok();
        }
        let _ = release_misplaced(&core, &mut misplaced, now).await;
        let _ = update_roster(&core).await;
    }
}

impl Core {
    /// Returns how many slices this node owns although another one should.
    #[must_use]
    pub fn misplaced_slices(&self) -> usize {
        let owned = self.rates.owned_slices();
        let shared = self.shared();
        owned
            .iter()
            .filter(|slice| is_misplaced(self, &shared, **slice))
            .count()
    }
}

/// Returns whether another node than this one should own a slice.
fn is_misplaced(core: &Core, shared: &Shared, slice: u32) -> bool {
    responsible_vm(shared, slice).is_some_and(|vm| vm != core.address)
}

/// Releases the slices of this node if it was fenced although it is alive, so that others see them
/// without an owner. The node may then own slices again, under a new epoch.
fn renew_if_fenced(core: &Core) {
    let document = Arc::clone(&core.view.load().index.document);
    let fence = document.fences.get(&*core.address);
    if let Some(fence) = fence.filter(|fence| core.epoch() <= fence.incarnation) {
        spdlog::warn!("this node was fenced as an owner of slices", kv: { epoch = core.epoch() });
        core.renew_epoch(fence.incarnation);
    }
}

/// Releases slices that have been misplaced for [`RELEASE_AFTER`], so that the slices of an
/// organisation end up in different data centres.
async fn release_misplaced(
    core: &Core,
    misplaced: &mut HashMap<u32, Instant>,
    now: Instant,
) -> Result<(), PlatformError> {
    let owned = core.rates.owned_slices();
    {
        let shared = core.shared();
        let is_misplaced = |slice: &u32| is_misplaced(core, &shared, *slice);
        misplaced.retain(|slice, _| owned.contains(slice) && is_misplaced(slice));
        for slice in owned.iter().filter(|slice| is_misplaced(slice)) {
            misplaced.entry(*slice).or_insert(now);
        }
    }
    let is_overdue = |since: &Instant| now >= *since + RELEASE_AFTER;
    let slices: Vec<u32> = misplaced
        .iter()
        .filter(|(_, since)| is_overdue(since))
        .map(|(slice, _)| *slice)
        .collect();
    if slices.is_empty() {
        return Ok(());
    }
    // While the platform can't be reached, no other node could claim the slices, so they stay.
    let rows = owner_rows(core).await?;
    core.rates.release(&slices);
    core.update_record();
    release_rows(core, &rows, &slices).await
}

/// Returns the slices that no live node owns and for which this node is the candidate.
fn claimable_slices(core: &Core) -> Vec<u32> {
    let shared = core.shared();
    let view = core.view.load();
    let centres = shared.index.document.data_centres.len();
    let slice_count = MAX_SLICES.min(u32::try_from(centres).unwrap_or(MAX_SLICES).max(1));
    (0..slice_count * PARTITIONS)
        .filter(|slice| !view.owners.contains_key(slice))
        .filter(|slice| responsible_vm(&shared, *slice).as_deref() == Some(&*core.address))
        .collect()
}

/// Chooses the VM that is responsible for a slice by rendezvous hashing, in the data centre of the
/// slice if possible.
fn responsible_vm(shared: &Shared, slice: u32) -> Option<Arc<str>> {
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
    let home = centres.get((slice / PARTITIONS) as usize % centres.len().max(1));
    highest_ranked(board, slice, home.map(|c| &***c)).or_else(|| highest_ranked(board, slice, None))
}

fn highest_ranked(board: &Board, slice: u32, centre: Option<&str>) -> Option<Arc<str>> {
    board
        .vms
        .values()
        .filter(|vm| vm.alive && vm.joined && !vm.leaving)
        .filter(|vm| centre.is_none_or(|c| *board.data_centres[vm.data_centre].name == *c))
        .max_by_key(|vm| hash_of(&(&*vm.address, slice)))
        .map(|vm| Arc::clone(&vm.address))
}

fn row_name(slice: u32) -> String {
    format!("{OWNER_PREFIX}{slice}")
}

/// Claims the slices that may be claimed, and fences silent owners.
async fn claim_slices(core: &Core, claimable: &[u32]) -> Result<(), PlatformError> {
    let rows = owner_rows(core).await?;
    let mut conditions = Vec::new();
    let mut writes = Vec::new();
    let mut claimed = Vec::new();
    let mut silent = HashSet::new();
    for slice in 0..MAX_SLICES * PARTITIONS {
        let row = rows.get(&row_name(slice));
        let owner = row.and_then(|r| serde_json::from_str::<SliceOwner>(&r.value).ok());
        match decide_claim(core, owner.as_ref(), claimable.contains(&slice)) {
            ClaimDecision::Leave => {}
            ClaimDecision::Owned => core.rates.acquire(slice, false, core.clock.now()),
            ClaimDecision::Fence(vm, incarnation) => {
                silent.insert((vm, incarnation));
            }
            ClaimDecision::Claim => {
                conditions.push(Condition {
                    key: row_name(slice),
                    version: row.map_or(0, |r| r.version),
                });
                writes.push(owner_write(slice, &core.address, core.epoch()));
                claimed.push((slice, row.is_none()));
            }
        }
    }
    if !writes.is_empty() && core.platform.commit(conditions, writes).await? {
        let now = core.clock.now();
        for (slice, first_owner) in claimed {
            core.rates.acquire(slice, first_owner, now);
        }
    }
    core.update_record();
    for (vm, incarnation) in silent {
        write_fence(core, &vm, incarnation).await;
    }
    Ok(())
}

fn owner_write(slice: u32, vm: &str, incarnation: u64) -> Write {
    let owner = SliceOwner {
        vm: vm.to_owned(),
        incarnation,
    };
    Write {
        key: row_name(slice),
        value: serde_json::to_string(&owner).ok(),
    }
}

/// What this node does about a slice.
enum ClaimDecision {
    /// Leaves it to others.
    Leave,
    /// The table already names this node's epoch as the owner's.
    Owned,
    /// Claims the slice.
    Claim,
    /// Fences the silent owner: its VM and epoch.
    Fence(String, u64),
}

fn decide_claim(core: &Core, owner: Option<&SliceOwner>, claimable: bool) -> ClaimDecision {
    let shared = core.shared();
    let now = core.clock.now();
    let document = &shared.index.document;
    if document.is_fenced(&core.address, core.epoch()) {
        return ClaimDecision::Leave;
    }
    let Some(owner) = owner else {
        return if claimable {
            ClaimDecision::Claim
        } else {
            ClaimDecision::Leave
        };
    };
    if *owner.vm == *core.address {
        return match owner.incarnation == core.epoch() {
            true => ClaimDecision::Owned,
            // The address is bound by this process, so the earlier incarnation is dead.
            false => ClaimDecision::Claim,
        };
    }
    if !claimable {
        return ClaimDecision::Leave;
    }
    if owner.vm.is_empty() {
        return ClaimDecision::Claim;
    }
    if document.is_fenced(&owner.vm, owner.incarnation) {
        // Until the fence is in force, nodes may still work under an older generation.
        return match shared.freshness.in_force(now) {
            true => ClaimDecision::Claim,
            false => ClaimDecision::Leave,
        };
    }
    let last_alive = shared.freshness.last_alive(&owner.vm);
    let since = last_alive.unwrap_or(shared.freshness.started());
    if now >= since + FENCE_AFTER {
        return ClaimDecision::Fence(owner.vm.clone(), owner.incarnation);
    }
    ClaimDecision::Leave
}

/// Writes a generation that fences an epoch, which then owns no slices any more.
async fn write_fence(core: &Core, vm: &str, incarnation: u64) {
    spdlog::warn!("fencing a silent owner of slices", kv: { vm, incarnation });
    let operation = Operation {
        id: format!("fence-{vm}-{incarnation}-{}", core.incarnation),
    };
    let fence = Fence {
        vm: vm.to_owned(),
        incarnation,
    };
    // After a lost race, or while the platform can't be reached, the next check tries again.
    let _ = apply_change(&core.platform, &operation, |document, _| {
        if !document.is_fenced(vm, incarnation) {
            document.fences.insert(vm.to_owned(), fence);
        }
        Ok(())
    })
    .await;
}

/// Updates the roster in small changes, each made only after the last one is in force.
async fn update_roster(core: &Core) -> Result<(), PlatformError> {
    let (add, remove) = {
        let shared = core.shared();
        let now = core.clock.now();
        let last_in_force = shared.freshness.roster().is_empty() || shared.freshness.in_force(now);
        // No slice is identified by `u32::MAX`; it stands for the roster here.
        if !last_in_force || responsible_vm(&shared, u32::MAX).as_deref() != Some(&*core.address) {
            return Ok(());
        }
        (vms_to_add(&shared), vms_to_remove(&shared, now))
    };
    if add.is_empty() && remove.is_empty() {
        return Ok(());
    }
    let held = core.shared().freshness.generation();
    let operation = Operation {
        id: format!("roster-{}-{}", core.incarnation, held + 1),
    };
    // After a lost race, or while the platform can't be reached, the next check tries again.
    let _ = apply_change(&core.platform, &operation, |document, generation| {
        if generation != held + 1 {
            return Err("the head is no longer the generation that this node holds".into());
        }
        change_roster(document, generation, &add, &remove);
        Ok(())
    })
    .await;
    Ok(())
}

fn vms_to_add(shared: &Shared) -> Vec<String> {
    let roster = shared.freshness.roster();
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

fn vms_to_remove(shared: &Shared, now: Instant) -> Vec<String> {
    let started = shared.freshness.started();
    let silent = |vm: &&String| {
        let last_alive = shared.freshness.last_alive(vm).unwrap_or(started);
        now >= last_alive + REMOVE_AFTER
    };
    let fenced = |vm: &&String| shared.index.document.fences.contains_key(*vm);
    let fenced_and_silent = |vm: &&String| {
        let last_alive = shared.freshness.last_alive(vm).unwrap_or(started);
        fenced(vm) && now >= last_alive + 2 * FENCE_AFTER
    };
    let roster = shared.freshness.roster().iter();
    roster
        .filter(|vm| silent(vm) || fenced_and_silent(vm))
        .cloned()
        .collect()
}

/// Releases all slices, so that other nodes need not wait for a fence.
pub async fn release_all(core: &Core) {
    let owned = core.rates.release_all();
    core.update_record();
    // If the platform can't be reached, the rows name this VM until its next incarnation or a fence.
    if let Ok(rows) = owner_rows(core).await {
        let _ = release_rows(core, &rows, &owned).await;
    }
}

/// Reads all rows that name the owner of a slice, by row name.
async fn owner_rows(core: &Core) -> Result<HashMap<String, Row>, PlatformError> {
    let rows = core.platform.scan(OWNER_PREFIX).await?;
    Ok(rows.into_iter().collect())
}

/// Clears the owner in the rows of slices, which this node must have released before.
async fn release_rows(
    core: &Core,
    rows: &HashMap<String, Row>,
    slices: &[u32],
) -> Result<(), PlatformError> {
    let mut conditions = Vec::new();
    let mut writes = Vec::new();
    for slice in slices {
        let row = rows.get(&row_name(*slice));
        let Some(row) = row.filter(|r| is_own(core, r)) else {
            continue;
        };
        conditions.push(Condition {
            key: row_name(*slice),
            version: row.version,
        });
        writes.push(owner_write(*slice, "", 0));
    }
    core.platform.commit(conditions, writes).await?;
    Ok(())
}

fn is_own(core: &Core, row: &Row) -> bool {
    let owner: Option<SliceOwner> = serde_json::from_str(&row.value).ok();
    owner.is_some_and(|o| *o.vm == *core.address && o.incarnation == core.epoch())
}
