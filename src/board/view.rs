//! The immutable view of the fleet that the request path reads; each new view replaces the last.

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
        placement::{Outlook, usual_load, valid_load},
    },
};

/// How long a load reported by an egress node is used: about the duration of a short request.
const REPORT_VALIDITY: Duration = Duration::from_millis(300);

/// How long no attempt is sent to a remote target after it was reported full: each such attempt costs
/// traffic between data centres.
const FULL_VALIDITY: Duration = Duration::from_millis(500);

/// How long a target is not chosen first after its egress node refused a request since it may be failing.
const DOUBT_VALIDITY: Duration = Duration::from_millis(300);

value! {
    /// Why an egress node refuses a request for the sake of its target's health.
    pub enum Doubt {
        /// The target is ejected and gets no requests.
        Ejected,
        /// The target is suspected and gets no requests that can't be repeated.
        Suspected,
    }
}

/// The load of one target, as far as this node knows; successive views share it.
#[derive(Debug, Default)]
pub struct Load {
    /// Number of attempts at the target that this node has running as ingress.
    pub running: AtomicU32,
    /// Number of attempts that the egress node last reported as running or waiting, and when.
    reported: Mutex<Option<(u32, Instant)>>,
    /// The last refusal for the sake of the target's health.
    doubted: Mutex<Option<(Doubt, Instant)>>,
}

impl Load {
    /// Records the load that the egress node reports.
    pub fn record_report(&self, load: u32, now: Instant) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        *reported = Some((load, now));
    }

    /// Returns the reported load if the report is younger than `within`.
    fn reported(&self, within: Duration, now: Instant) -> Option<u32> {
        let reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        reported
            .filter(|(_, at)| now < *at + within)
            .map(|(load, _)| load)
    }

    /// Records that the egress node refused a request since the target may be failing.
    pub fn record_doubt(&self, doubt: Doubt, now: Instant) {
        let mut doubted = self.doubted.lock().unwrap_or_else(PoisonError::into_inner);
        *doubted = Some((doubt, now));
    }

    /// Returns the doubt in the target's health that was last reported, if that was a moment ago.
    #[must_use]
    pub fn doubt(&self, now: Instant) -> Option<Doubt> {
        let doubted = self.doubted.lock().unwrap_or_else(PoisonError::into_inner);
        doubted
            .filter(|(_, at)| now < *at + DOUBT_VALIDITY)
            .map(|(doubt, _)| doubt)
    }

    /// Returns the number of running and waiting attempts at a target whose requests usually take `latency`, if its
    /// last report still holds.
    #[must_use]
    pub fn valid_report(&self, latency: Duration, now: Instant) -> Option<f64> {
        let reported = *self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let (load, at) = reported?;
        let age = now.saturating_duration_since(at);
        valid_load(f64::from(load), age, latency.max(REPORT_VALIDITY))
    }

    /// Returns the number of running and waiting attempts, as far as known.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> u32 {
        let running = self.running.load(Relaxed);
        let reported = self.reported(REPORT_VALIDITY, now);
        reported.map_or(running, |load| running.max(load))
    }
}

/// Identifies a VM and the incarnation of its node.
#[derive(Debug, Clone, PartialEq)]
pub struct VmView {
    /// The fleet address.
    pub address: Arc<str>,
    /// The incarnation of its node.
    pub incarnation: u64,
}

/// A target that may be chosen for requests.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// The target's id.
    pub id: Arc<str>,
    /// The version of its software; empty if unknown.
    pub version: Arc<str>,
    /// The VM of its egress node.
    pub vm: VmView,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it is in this node's data centre.
    pub local: bool,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Its typical time to the response head; zero while unknown.
    pub latency: Duration,
    /// Whether it is in a cold start, and so gets fewer requests than it has slots.
    pub cold: bool,
    /// Whether its egress node reports it as failing, but the floor keeps it in use.
    pub failing: bool,
    /// Its load.
    pub load: Arc<Load>,
}

/// The targets of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// Targets that get new requests.
    pub targets: Vec<TargetView>,
    /// Statistics of the service's other targets, by target.
    pub other_targets: HashMap<Arc<str>, OtherTargets>,
    /// Number of targets that are ejected.
    pub ejected: u32,
    /// Number of targets that count for the floor: those that are not cold.
    pub floor_targets: u32,
}

/// The owner of a slice.
#[derive(Debug, Clone)]
pub struct OwnerView {
    /// The VM of the node that owns it.
    pub vm: VmView,
    /// Whether it is in this node's data centre.
    pub local: bool,
}

/// Everything that the request path reads about the fleet.
pub struct View {
    /// The configuration.
    pub index: Arc<Index>,
    /// Services with targets, by name.
    pub services: HashMap<Arc<str>, ServiceView>,
    /// Owners of slices by number * partitions + partition.
    pub owners: HashMap<u32, OwnerView>,
    /// VMs of the other nodes that are alive.
    pub peers: Vec<VmView>,
    /// Nodes of this data centre that are alive and not leaving, including this one.
    pub local_nodes: Vec<VmView>,
    /// Nodes of each other data centre that are alive and not leaving.
    pub remote_nodes: Vec<Vec<VmView>>,
    /// Number of known nodes of the whole fleet, alive or not.
    pub node_count: u32,
    /// Whether this node's data centre is drained.
    pub drained: bool,
}

/// Builds a view of the board.
///
/// `own` is the address of this node. `loads` holds the loads of targets across views; those of
/// removed targets are dropped.
#[must_use]
pub fn build_view(
    board: &Board,
    index: &Arc<Index>,
    own: &str,
    loads: &mut HashMap<Arc<str>, Arc<Load>>,
) -> View {
    let data_centre = board.vm(own).map(|vm| vm.data_centre);
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
            let view = service_view(board, &targets, floor, data_centre, loads);
            (name, view)
        })
        .collect();
    View {
        index: Arc::clone(index),
        services,
        owners: owners(board, own),
        peers: peers(board, own),
        local_nodes: local_nodes(board, own),
        remote_nodes: remote_nodes(board, own),
        node_count: u32::try_from(board.vms.len()).unwrap_or(u32::MAX),
        drained: data_centre.is_some_and(|c| board.data_centres[c].drained),
    }
}

fn vm_view(vm: &Vm) -> VmView {
    VmView {
        address: Arc::clone(&vm.address),
        incarnation: vm.incarnation,
    }
}

fn peers(board: &Board, own: &str) -> Vec<VmView> {
    let alive = board
        .vms
        .values()
        .filter(|vm| vm.alive && *vm.address != *own);
    alive.map(vm_view).collect()
}

fn local_nodes(board: &Board, own: &str) -> Vec<VmView> {
    let data_centre = board.vm(own).map(|vm| vm.data_centre);
    data_centre
        .map(|c| active_nodes(board, c))
        .unwrap_or_default()
}

fn remote_nodes(board: &Board, own: &str) -> Vec<Vec<VmView>> {
    let data_centre = board.vm(own).map(|vm| vm.data_centre);
    let others = board
        .data_centres
        .keys()
        .filter(|c| Some(*c) != data_centre);
    let nodes = others.map(|c| active_nodes(board, c));
    nodes.filter(|nodes| !nodes.is_empty()).collect()
}

fn active_nodes(board: &Board, data_centre: DataCentreKey) -> Vec<VmView> {
    let is_active = |vm: &&Vm| vm.alive && !vm.leaving && vm.data_centre == data_centre;
    board.vms.values().filter(is_active).map(vm_view).collect()
}

fn owners(board: &Board, own: &str) -> HashMap<u32, OwnerView> {
    let data_centre = board.vm(own).map(|vm| vm.data_centre);
    let mut owners = HashMap::new();
    for vm in board.vms.values().filter(|vm| vm.alive) {
        let local = Some(vm.data_centre) == data_centre;
        for slice in &vm.owned {
            let owner = OwnerView {
                vm: vm_view(vm),
                local,
            };
            owners.insert(*slice, owner);
        }
    }
    debug_assert!(owners.len() <= 3 * PARTITIONS as usize);
    owners
}

fn service_view(
    board: &Board,
    targets: &[&Target],
    floor: f64,
    data_centre: Option<DataCentreKey>,
    loads: &mut HashMap<Arc<str>, Arc<Load>>,
) -> ServiceView {
    let is_serving = |t: &&&Target| {
        let vm = &board.vms[t.vm];
        let data_centre = &board.data_centres[vm.data_centre];
        vm.alive && !vm.leaving && !data_centre.drained && t.state != TargetState::Leaving
    };
    let serving: Vec<&Target> = targets.iter().filter(is_serving).copied().collect();
    let health: Vec<TargetHealth> = serving
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
    let ejections = ejectable(&health, floor);
    let mut view = ServiceView {
        other_targets: other_targets(&serving),
        ..ServiceView::default()
    };
    for (target, ejected) in serving.iter().zip(&ejections) {
        view.floor_targets += u32::from(target.state != TargetState::Cold);
        if *ejected {
            view.ejected += 1;
            continue;
        }
        let vm = &board.vms[target.vm];
        let load = loads.entry(Arc::clone(&target.id)).or_default();
        view.targets.push(TargetView {
            id: Arc::clone(&target.id),
            version: Arc::clone(&target.version),
            vm: vm_view(vm),
            centre: Arc::clone(&board.data_centres[vm.data_centre].name),
            local: Some(vm.data_centre) == data_centre,
            slots: target.slots,
            latency: Duration::from_millis(u64::from(target.latency)),
            cold: target.state == TargetState::Cold,
            failing: target.state == TargetState::Ejected,
            load: Arc::clone(load),
        });
    }
    view
}

/// Returns, for each target, the median latency and the share of failing targets among the others.
fn other_targets(targets: &[&Target]) -> HashMap<Arc<str>, OtherTargets> {
    let measured = targets.iter().map(|t| t.latency).filter(|l| *l > 0);
    let mut latencies: Vec<u32> = measured.collect();
    latencies.sort_unstable();
    let is_failing = |t: &Target| t.state == TargetState::Ejected;
    let failing_count = targets.iter().filter(|t| is_failing(t)).count();
    let other_count = targets.len().saturating_sub(1).max(1);
    let statistics = |target: &&Target| {
        #[expect(clippy::cast_precision_loss)]
        let failure_share =
            (failing_count - usize::from(is_failing(target))) as f64 / other_count as f64;
        let median = median_without(&latencies, target.latency);
        let others = OtherTargets {
            failure_share,
            latency: Duration::from_millis(u64::from(median)),
        };
        (Arc::clone(&target.id), others)
    };
    targets.iter().map(statistics).collect()
}

/// Returns the median of sorted values without one occurrence of `value`, if they contain it.
fn median_without(sorted: &[u32], value: u32) -> u32 {
    let position = sorted.binary_search(&value).ok();
    let count = sorted.len() - usize::from(position.is_some());
    let middle = count / 2;
    let skipped = position.is_some_and(|p| p <= middle);
    sorted
        .get(middle + usize::from(skipped))
        .copied()
        .unwrap_or(0)
}

impl ServiceView {
    /// Returns the load to assume of a target without a valid report.
    #[must_use]
    pub fn usual_load(&self, now: Instant) -> f64 {
        let report = |t: &TargetView| {
            let load = t.load.valid_report(t.latency, now)?;
            Some((load, f64::from(t.slots)))
        };
        usual_load(self.targets.iter().filter_map(report))
    }
}

impl TargetView {
    /// Returns whether the target may have a free slot. A remote target is assumed to have none while
    /// it is failing or was reported full a moment ago.
    #[must_use]
    pub fn may_have_slot(&self, now: Instant) -> bool {
        let full = || {
            let load = self.load.reported(FULL_VALIDITY, now);
            load.is_some_and(|load| load >= self.slots)
        };
        self.local || !(self.failing || full())
    }

    /// Returns what is known of the target for a request that may be repeated or not. `usual` is the load of a target
    /// without a valid report.
    #[must_use]
    pub fn outlook(&self, usual: f64, repeatable: bool, now: Instant) -> Outlook {
        let running = f64::from(self.load.running.load(Relaxed));
        let doubted = match self.load.doubt(now) {
            Some(Doubt::Ejected) => true,
            Some(Doubt::Suspected) => !repeatable,
            None => false,
        };
        Outlook {
            load: self
                .load
                .valid_report(self.latency, now)
                .unwrap_or(usual)
                .max(running),
            slots: f64::from(self.slots),
            doubted: doubted || self.failing,
        }
    }

    /// Returns the load by which targets are compared when one is chosen.
    #[must_use]
    pub fn load_estimate(&self, now: Instant) -> f64 {
        f64::from(self.load.estimate(now))
    }
}
