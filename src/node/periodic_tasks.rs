//! Periodic tasks: rendering of views, settlement of leases, probes of targets, and clean-up.

use std::{sync::Arc, time::Duration};

use tokio::time::{interval, sleep, timeout};

use crate::{
    node::{Core, probes::send_probe},
    proxy::{ProbePurpose, other_targets},
};

/// How often liveness and views are updated if no change is signalled.
const RENDER_INTERVAL: Duration = Duration::from_millis(100);

/// The delay after a rendering is this many times as long as the rendering took, to bound the share of
/// processor time that rendering takes.
const RENDER_DELAY_FACTOR: u32 = 100;

/// How long a VM is treated as alive after the last sign of life, direct or gossiped.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// How often leases of tokens that end soon are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// How often expired targets, attempts and buckets are removed, and targets are checked for overdue
/// exchanges and due probes.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Renders a view when something has changed.
pub async fn render_views(core: Arc<Core>) {
    let mut delay = Duration::ZERO;
    loop {
        sleep(delay).await;
        // Liveness changes with time, so a timeout is handled like a notification.
        let _ = timeout(RENDER_INTERVAL, core.render_now.notified()).await;
        let started = core.clock.now();
        render_once(&core);
        delay = RENDER_DELAY_FACTOR * core.clock.now().saturating_duration_since(started);
    }
}

fn render_once(core: &Core) {
    let now = core.clock.now();
    let mut shared = core.shared();
    let shared = &mut *shared;
    for vm in shared.board.vms.values_mut() {
        let last_alive = shared.freshness.last_alive(&vm.address);
        let own = *vm.address == *core.address;
        let alive = own || last_alive.is_some_and(|at| now < at + LIVENESS_TIMEOUT);
        shared.dirty |= alive != vm.alive;
        vm.alive = alive;
    }
    if shared.dirty {
        core.publish_view(shared);
    }
}

/// Settles leases of tokens that end soon.
pub async fn settle_leases(core: Arc<Core>) {
    let mut ticks = interval(SETTLE_INTERVAL);
    loop {
        ticks.tick().await;
        core.rates.settle_leases(&core).await;
    }
}

/// Removes expired targets, attempts and buckets, ejects targets whose exchanges take too long, and
/// probes ejected targets whose probe is due.
pub async fn sweep(core: Arc<Core>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let now = core.clock.now();
        core.egress.sweep(now);
        core.rates.sweep(now);
        core.observe_local_nodes();
        let view = core.view.load_full();
        core.admission
            .configure(|name| Some(view.index.service(name)?.target_limits()));
        let others = |service: &str, target: &str| other_targets(&core, service, target);
        for target in core.admission.eject_overdue(others, now) {
            core.record_ejection(&target);
        }
        for probe in core.admission.sweep(now) {
            match probe.purpose {
                // It stays due until its result is recorded.
                ProbePurpose::Return => send_probe(Arc::clone(&core), probe).await,
                ProbePurpose::Warmth => drop(tokio::spawn(send_probe(Arc::clone(&core), probe))),
            }
        }
        core.update_record();
        core.wake_keeper();
    }
}
