//! Probes of targets.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::Full;

use crate::{
    net::{ExchangeLimits, NetError, fetch},
    node::Core,
    policy::pace::parse_cold_left,
    proxy::{HeaderNames, Probe, ProbePurpose},
};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

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
    let text = |name: &HeaderName| headers.get(name).map(|v| v.to_str().unwrap_or(""));
    if text(&names.target_id) != Some(target) {
        return None;
    }
    let Some(cold_ms) = text(&names.cold_left) else {
        return Some(Duration::ZERO);
    };
    let cold_ms: f64 = cold_ms.trim().parse().ok()?;
    parse_cold_left(cold_ms / 1e3)
}
