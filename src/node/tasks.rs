//! Small tasks at intervals: views, leases, probes, settlements and sweeps.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::{interval, sleep, timeout};

use crate::{net::exchange, node::Core, proxy::other_targets};

/// How often liveness and views are brought up to date without a reason.
const RENDER_EVERY: Duration = Duration::from_millis(100);

/// How many times longer than rendering took the next one waits, to bound its processor time.
const RENDER_SHARE: u32 = 100;

/// News older than this no longer shows that a VM is alive.
const ALIVE_FOR: Duration = Duration::from_secs(3);

/// How often loans that end soon are settled.
const SETTLE_EVERY: Duration = Duration::from_millis(10);

/// How often leases and ledgers are swept.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The path that probes ask for.
const PROBE_PATH: &str = "/health";

/// Renders views when something changed.
pub async fn render(core: Arc<Core>) {
    let mut rest = Duration::ZERO;
    loop {
        sleep(rest).await;
        // Either way out means that it is time to look.
        let _ = timeout(RENDER_EVERY, core.changed.notified()).await;
        let begun = core.clock.now();
        render_once(&core);
        rest = RENDER_SHARE * core.clock.now().saturating_duration_since(begun);
    }
}

fn render_once(core: &Core) {
    let now = core.clock.now();
    let mut shared = core.shared();
    let shared = &mut *shared;
    for vm in shared.board.vms.values_mut() {
        let heard = shared.fresh.last_alive(&vm.address);
        let own = *vm.address == *core.address;
        let alive = own || heard.is_some_and(|at| now < at + ALIVE_FOR);
        shared.dirty |= alive != vm.alive;
        vm.alive = alive;
    }
    if shared.dirty {
        core.render(shared);
    }
}

/// Settles loans that end soon.
pub async fn settle(core: Arc<Core>) {
    let mut ticks = interval(SETTLE_EVERY);
    loop {
        ticks.tick().await;
        core.rates.settle_leases(&core).await;
    }
}

/// Sweeps leases, ledgers and buckets, and probes ejected targets whose wait is over.
pub async fn sweep(core: Arc<Core>) {
    let mut ticks = interval(SWEEP_EVERY);
    loop {
        ticks.tick().await;
        let now = core.clock.now();
        core.egress.sweep(now);
        core.rates.sweep(now);
        let view = core.view.load_full();
        core.admission.configure(|name| {
            let service = view.index.service(name)?;
            Some((service.connections as usize, service.cold_rate))
        });
        let others = |service: &str, target: &str| other_targets(&core, service, target);
        for target in core.admission.eject_overdue(others, now) {
            core.ejected(&target);
        }
        for (id, address) in core.admission.sweep(now) {
            let good = probe(&address).await;
            core.admission.record_probe(&id, good, core.clock.now());
        }
        core.describe();
    }
}

/// Asks a target for its health; the answer only decides whether real traffic may try it again.
async fn probe(address: &str) -> bool {
    let request = Request::builder()
        .uri(PROBE_PATH)
        .header("host", address)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return false };
    match exchange(address, request, PROBE_TIMEOUT).await {
        Ok((status, _)) => status.is_success(),
        Err(_) => false,
    }
}
