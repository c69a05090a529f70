//! Probes of targets, and the question to an unknown target whether it is leaving.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::{
    clock::unix_millis,
    net::{ExchangeLimits, NetError, fetch},
    node::Core,
    policy::{departures::RETENTION, pace::parse_cold_left},
    proxy::{Announcement, HeaderNames, Probe, ProbePurpose, apply_leaving, states_leaving},
};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an announcement waits at most until its target has been asked whether it is leaving.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// How often a starting node checks whether its configuration has the service of a target.
const SERVICE_INTERVAL: Duration = Duration::from_millis(20);

/// Largest body of a response to a probe, in bytes; only its status and headers are used.
const MAX_PROBE_BYTES: usize = 64 << 10;

/// Sends a probe, and records what the response decides.
///
/// Health alone never decides whether a target is in use: it may be good at a failing target. It only decides
/// whether requests may try an ejected target again.
pub async fn send_probe(core: Arc<Core>, probe: Probe) {
    let Probe {
        target,
        service,
        address,
        purpose,
    } = probe;
    let view = core.view.load_full();
    let Some(service) = view.index.service(&service) else {
        return;
    };
    let sent = core.clock.now();
    let response = request_health(&address, &service.health).await;
    let now = core.clock.now();
    if let Ok(response) = &response
        && is_of_target(&core.header_names, response.headers(), &target)
    {
        apply_leaving(&core, &target, response.headers());
    }
    match purpose {
        ProbePurpose::Return => {
            let healthy = response.is_ok_and(|r| r.status().is_success());
            core.admission.record_probe(&target, healthy, now);
        }
        ProbePurpose::Warmth => {
            let cold_left = response
                .ok()
                .and_then(|r| read_cold_left(&core.header_names, r.headers(), &target));
            if let Some(cold_left) = cold_left {
                core.admission
                    .record_cold_left(&target, cold_left, sent, now);
            }
            let known = cold_left.is_some();
            let cold_ms = cold_left.unwrap_or_default().as_millis();
            let target = target.as_str();
            spdlog::info!("asked target whether it is warm", kv: { target, known, cold_ms });
        }
    }
}

impl Core {
    /// Asks a target whether it is leaving if an earlier incarnation of this node may have acknowledged its departure,
    /// and records the departure if so. Neither this node nor another one need remember it, nor the platform's table.
    pub async fn ask_unknown_target(&self, announcement: &Announcement) {
        let Announcement { id, started_ms, .. } = announcement;
        let now = self.clock.now();
        let since_start = now.saturating_duration_since(self.started());
        let own_start = self
            .clock
            .wall()
            .checked_sub(since_start)
            .map_or(0, unix_millis);
        let unknown = !announcement.leaving
            && *started_ms <= own_start
            && since_start < RETENTION
            && !self.admission.is_known(id)
            && !self.admission.has_departed(id, *started_ms, now);
        if !unknown {
            return;
        }
        // Without an answer in time, the announcement has to do.
        let leaves = timeout(ASK_TIMEOUT, self.is_leaving(announcement)).await;
        spdlog::info!("asked unknown target whether it is leaving", kv: { target = id.as_str(), known = leaves.is_ok(), leaves = leaves == Ok(true) });
        if leaves == Ok(true) {
            self.admission
                .record_departure(id, *started_ms, self.clock.now());
        }
    }

    async fn is_leaving(&self, announcement: &Announcement) -> bool {
        let path = loop {
            let view = self.view.load_full();
            match view.index.service(&announcement.service) {
                Some(service) => break service.health.clone(),
                // A node that has just started doesn't have the configuration yet.
                None => sleep(SERVICE_INTERVAL).await,
            }
        };
        let response = request_health(&announcement.address, &path).await;
        response.is_ok_and(|response| {
            let (names, headers) = (&self.header_names, response.headers());
            is_of_target(names, headers, &announcement.id) && states_leaving(names, headers)
        })
    }
}

/// Returns whether a response to a probe is that of a target.
fn is_of_target(names: &HeaderNames, headers: &HeaderMap, target: &str) -> bool {
    headers.get(&names.target_id).is_some_and(|v| v == target)
}

async fn request_health(address: &str, path: &str) -> Result<Response<Bytes>, NetError> {
    let request = Request::builder()
        .uri(path)
        .header("host", address)
        .body(Full::new(Bytes::new()))
        .map_err(|error| NetError::Exchange(error.to_string()))?;
    let limits = ExchangeLimits {
        size: MAX_PROBE_BYTES,
        ..ExchangeLimits::whole(PROBE_TIMEOUT)
    };
    fetch(address, request, limits).await
}

/// Returns for how long a target stays cold according to its response to a probe; `None` if the response is not
/// that of the target, or can't be read.
fn read_cold_left(names: &HeaderNames, headers: &HeaderMap, target: &str) -> Option<Duration> {
    if !is_of_target(names, headers, target) {
        return None;
    }
    let Some(cold_ms) = headers.get(&names.cold_left) else {
        return Some(Duration::ZERO);
    };
    let cold_ms: f64 = cold_ms.to_str().ok()?.trim().parse().ok()?;
    parse_cold_left(cold_ms / 1e3)
}
