//! The immutable view that the request path reads, swapped in whole.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use crate::{
    board::{Board, DataCentreKey, Target, Vm},
    config::Index,
    fleet::codec::TargetState,
    policy::{
        bucket::PARTITIONS,
        eject::{OtherTargets, TargetHealth, ejectable},
    },
};

/// How long a load counts that a guard reported: about the time of a short piece of work.
const REPORT_LASTS: Duration = Duration::from_millis(300);

/// How long a far target that was full is not asked again whether it has a free slot. Each question
/// costs bytes between data centres.
const FULL_LASTS: Duration = Duration::from_millis(500);

/// Loads of one target as this node sees them; they outlive views.
#[derive(Debug, Default)]
pub struct Load {
    /// Attempts under way from this node.
    pub running: AtomicU32,
    /// Attempts that the guard last reported as running or waiting, and when.
    reported: Mutex<Option<(u32, Instant)>>,
}

impl Load {
    /// Takes up what the guard reports.
    pub fn report(&self, load: u32, now: Instant) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        *reported = Some((load, now));
    }

    /// Returns the load that was reported less than `within` ago.
    fn reported(&self, within: Duration, now: Instant) -> Option<u32> {
        let reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        reported
            .filter(|(_, at)| now < *at + within)
            .map(|(load, _)| load)
    }

    /// Returns the load as far as it is known.
    #[must_use]
    pub fn known(&self, now: Instant) -> u32 {
        let running = self.running.load(Relaxed);
        let reported = self.reported(REPORT_LASTS, now);
        reported.map_or(running, |load| running.max(load))
    }
}

/// A VM as the request path sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct VmView {
    /// The fleet address.
    pub address: Arc<str>,
    /// The incarnation of its node.
    pub incarnation: u64,
}

/// A target as the request path sees it.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// The target's own name.
    pub id: Arc<str>,
    /// Its guard.
    pub vm: VmView,
    /// Whether it is in this node's data centre.
    pub near: bool,
    /// Requests it takes at once.
    pub slots: u32,
    /// Whether it is trusted with part of its slots only.
    pub cold: bool,
    /// Whether its guard found it failing, but the floor keeps it in.
    pub failing: bool,
    /// Its loads.
    pub load: Arc<Load>,
}

/// A service's targets.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// Targets that get new work.
    pub targets: Vec<TargetView>,
    /// What the others of each target are like, by target.
    pub others: HashMap<Arc<str>, OtherTargets>,
    /// Targets that are out now.
    pub ejected: u32,
    /// Targets that count for the floor.
    pub counted: u32,
}

/// Who keeps a slice.
#[derive(Debug, Clone)]
pub struct KeeperView {
    /// The keeper's node.
    pub vm: VmView,
    /// Whether it is in this node's data centre.
    pub near: bool,
}

/// Everything the request path reads of the fleet.
pub struct View {
    /// The configuration.
    pub index: Arc<Index>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceView>,
    /// Keepers by slice * partitions + partition.
    pub keepers: HashMap<u32, KeeperView>,
    /// Other nodes that are alive.
    pub others: Vec<VmView>,
    /// Nodes of this data centre that are alive and stay, this one among them.
    pub near: Vec<VmView>,
    /// Since when those are the same; `None` until the node looks.
    pub near_since: Option<Instant>,
    /// The same of each other data centre.
    pub far: Vec<Vec<VmView>>,
    /// Nodes of the whole fleet that are known, alive or not.
    pub nodes: u32,
    /// Whether this node's data centre is drained.
    pub drained: bool,
}

/// Builds a view of the board.
///
/// `loads` keeps the loads of targets between views; those of targets that are gone are dropped.
#[must_use]
pub fn render(
    board: &Board,
    index: &Arc<Index>,
    own: &str,
    loads: &mut HashMap<Arc<str>, Arc<Load>>,
) -> View {
    let centre = board.vm(own).map(|vm| vm.centre);
    let mut groups: BTreeMap<Arc<str>, Vec<&Target>> = BTreeMap::new();
    for target in board.targets.values() {
        let name = &board.services[target.service].name;
        groups.entry(Arc::clone(name)).or_default().push(target);
    }
    let present: HashSet<&Arc<str>> = board.targets.values().map(|t| &t.id).collect();
    loads.retain(|id, _| present.contains(id));
    let services = groups
        .into_iter()
        .map(|(name, targets)| {
            let floor = index.service(&name).map_or(1.0, |s| s.floor);
            let view = service_view(board, &targets, floor, centre, loads);
            (name, view)
        })
        .collect();
    View {
        index: Arc::clone(index),
        services,
        keepers: keepers(board, own),
        others: others(board, own),
        near: near(board, own),
        near_since: None,
        far: far(board, own),
        nodes: u32::try_from(board.vms.len()).unwrap_or(u32::MAX),
        drained: centre.is_some_and(|c| board.centres[c].drained),
    }
}

fn vm_view(vm: &Vm) -> VmView {
    VmView {
        address: Arc::clone(&vm.address),
        incarnation: vm.incarnation,
    }
}

fn others(board: &Board, own: &str) -> Vec<VmView> {
    let alive = board
        .vms
        .values()
        .filter(|vm| vm.alive && *vm.address != *own);
    alive.map(vm_view).collect()
}

fn near(board: &Board, own: &str) -> Vec<VmView> {
    let centre = board.vm(own).map(|vm| vm.centre);
    centre.map(|c| staying_in(board, c)).unwrap_or_default()
}

fn far(board: &Board, own: &str) -> Vec<Vec<VmView>> {
    let centre = board.vm(own).map(|vm| vm.centre);
    let others = board.centres.keys().filter(|c| Some(*c) != centre);
    let nodes = others.map(|c| staying_in(board, c));
    nodes.filter(|nodes| !nodes.is_empty()).collect()
}

fn staying_in(board: &Board, centre: DataCentreKey) -> Vec<VmView> {
    let stays = |vm: &&Vm| vm.alive && !vm.leaving && vm.centre == centre;
    board.vms.values().filter(stays).map(vm_view).collect()
}

fn keepers(board: &Board, own: &str) -> HashMap<u32, KeeperView> {
    let centre = board.vm(own).map(|vm| vm.centre);
    let mut out = HashMap::new();
    for vm in board.vms.values().filter(|vm| vm.alive) {
        let near = Some(vm.centre) == centre;
        for slice in &vm.kept {
            let keeper = KeeperView {
                vm: vm_view(vm),
                near,
            };
            out.insert(*slice, keeper);
        }
    }
    debug_assert!(out.len() <= 3 * PARTITIONS as usize);
    out
}

fn service_view(
    board: &Board,
    targets: &[&Target],
    floor: f64,
    centre: Option<DataCentreKey>,
    loads: &mut HashMap<Arc<str>, Arc<Load>>,
) -> ServiceView {
    let in_service = |t: &&&Target| {
        let vm = &board.vms[t.vm];
        let centre = &board.centres[vm.centre];
        vm.alive && !vm.leaving && !centre.drained && t.state != TargetState::Leaving
    };
    let serving: Vec<&Target> = targets.iter().filter(in_service).copied().collect();
    let standings: Vec<TargetHealth> = serving
        .iter()
        .map(|t| TargetHealth {
            slots: if t.state == TargetState::Cold {
                0.0
            } else {
                f64::from(t.slots)
            },
            failing: t.state == TargetState::Ejected,
            severity: f64::from(t.latency),
        })
        .collect();
    let out = ejectable(&standings, floor);
    let mut view = ServiceView {
        others: others_of(&serving),
        ..ServiceView::default()
    };
    for (target, ejected) in serving.iter().zip(&out) {
        view.counted += u32::from(target.state != TargetState::Cold);
        if *ejected {
            view.ejected += 1;
            continue;
        }
        let vm = &board.vms[target.vm];
        let load = loads.entry(Arc::clone(&target.id)).or_default();
        view.targets.push(TargetView {
            id: Arc::clone(&target.id),
            vm: vm_view(vm),
            near: Some(vm.centre) == centre,
            slots: target.slots,
            cold: target.state == TargetState::Cold,
            failing: target.state == TargetState::Ejected,
            load: Arc::clone(load),
        });
    }
    view
}

/// Works out, for each target, the median latency and the share of failing ones among the others.
fn others_of(targets: &[&Target]) -> HashMap<Arc<str>, OtherTargets> {
    let known = targets.iter().map(|t| t.latency).filter(|l| *l > 0);
    let mut latencies: Vec<u32> = known.collect();
    latencies.sort_unstable();
    let failing = |t: &Target| t.state == TargetState::Ejected;
    let all_failing = targets.iter().filter(|t| failing(t)).count();
    let others = targets.len().saturating_sub(1).max(1);
    let one = |target: &&Target| {
        #[expect(clippy::cast_precision_loss)]
        let bad = (all_failing - usize::from(failing(target))) as f64 / others as f64;
        let median = median_without(&latencies, target.latency);
        let others = OtherTargets {
            failure_share: bad,
            latency: Duration::from_millis(u64::from(median)),
        };
        (Arc::clone(&target.id), others)
    };
    targets.iter().map(one).collect()
}

/// Returns the median of sorted values when one of them, if it is there, is left out.
fn median_without(sorted: &[u32], value: u32) -> u32 {
    let place = sorted.binary_search(&value).ok();
    let count = sorted.len() - usize::from(place.is_some());
    let middle = count / 2;
    let skipped = place.is_some_and(|p| p <= middle);
    sorted
        .get(middle + usize::from(skipped))
        .copied()
        .unwrap_or(0)
}

impl TargetView {
    /// Tells whether the target is worth asking for a free slot: a far one is not while it seems to
    /// fail, or was full a moment ago.
    #[must_use]
    pub fn is_worth_asking(&self, now: Instant) -> bool {
        let full = || {
            let load = self.load.reported(FULL_LASTS, now);
            load.is_some_and(|load| load >= self.slots)
        };
        self.near || !(self.failing || full())
    }

    /// Returns the load that the choice compares.
    #[must_use]
    pub fn total(&self, now: Instant) -> f64 {
        f64::from(self.load.known(now))
    }
}
