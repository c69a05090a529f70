//! The local listener, at which targets announce themselves and operators read the node's
//! readiness, metrics, error budget burn and state.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use serde_json::json;
use tokio::net::TcpListener;
use viz::{
    IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode,
    middleware::limits, serve, types::State,
};

use crate::{
    clock::whole_millis,
    node::Core,
    ops::metrics::write_buffers,
    proxy::{ANNOUNCEMENT_LEASE, Announcement},
};

section! {
    /// The announcement that a target sends when it starts and then at least once a second.
    pub struct Announce {
        /// The name of the target.
        pub id: String,
        /// The service of the target.
        pub service: String,
        /// The address at which the target accepts requests.
        pub address: String,
        /// Number of requests that the target can process at the same time.
        pub slots: u32,
        /// Whether the target is in a cold start.
        #[serde(default)]
        pub cold: bool,
        /// Whether the target is shutting down.
        #[serde(default)]
        pub leaving: bool,
    }
}

/// The node, shared by the handlers of its listeners.
pub type SharedCore = Arc<Core>;

/// Serves the local listener until the process ends.
pub async fn serve_local(core: SharedCore, listener: TcpListener) {
    let router = Router::new()
        .post("/v1/announce", announce)
        .get("/ready", ready)
        .get("/metrics", metrics)
        .get("/burn", burn)
        .get("/state", state)
        .with(State::new(core))
        .with(limits::Config::new());
    if let Err(error) = serve(listener, router).await {
        spdlog::error!("local listener failed", kv: { error = error.to_string() });
    }
}

/// Returns the node that a listener serves.
///
/// # Errors
/// Status 500 when the router has no node in its state.
pub fn core(request: &Request) -> Result<SharedCore> {
    request
        .state::<SharedCore>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

async fn announce(mut request: Request) -> Result<Response> {
    let core = core(&request)?;
    let body: Announce = request.json().await?;
    if body.slots == 0 || body.address.parse::<std::net::SocketAddr>().is_err() {
        return Ok((StatusCode::BAD_REQUEST, "slots or address is not usable").into_response());
    }
    let leaving = body.leaving;
    let announcement = Announcement {
        id: body.id,
        service: body.service,
        version: String::new(),
        address: body.address,
        slots: body.slots,
        cold_left: if body.cold {
            ANNOUNCEMENT_LEASE
        } else {
            Duration::ZERO
        },
        leaving,
        started_ms: 0,
        sequence: 0,
        lease: ANNOUNCEMENT_LEASE,
    };
    if core.shutting_down() && !leaving {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "the node is stopping").into_response());
    }
    core.admission
        .apply_announcement(announcement, core.clock.now());
    core.update_record();
    let lease = whole_millis(ANNOUNCEMENT_LEASE);
    Ok(Response::json(json!({ "lease_ms": lease }))?)
}

/// Returns status 200 if the node serves callers, else 503.
///
/// # Errors
/// See [`core()`].
pub async fn ready(request: Request) -> Result<Response> {
    let core = core(&request)?;
    let status = match core.serving() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(status.into_response())
}

async fn metrics(request: Request) -> Result<Response> {
    let core = core(&request)?;
    let mut text = core.metrics.text();
    if let Some(buffers) = &core.buffers {
        write_buffers(&mut text, buffers);
    }
    Ok(text.into_response())
}

async fn burn(request: Request) -> Result<Response> {
    Ok(Response::json(core(&request)?.metrics.burn())?)
}

async fn state(request: Request) -> Result<Response> {
    let core = core(&request)?;
    let now = core.clock.now();
    let view = core.view.load_full();
    let services: serde_json::Map<String, serde_json::Value> = view
        .services
        .iter()
        .map(|(name, s)| {
            let targets: Vec<_> = s.targets.iter().map(|t| t.id.to_string()).collect();
            let value = json!({
                "targets": targets,
                "ejected": s.ejected,
                "counted": s.floor_targets,
            });
            (name.to_string(), value)
        })
        .collect();
    let misplaced = core.misplaced_slices();
    let shared = core.shared();
    Ok(Response::json(json!({
        "vm": &*core.address,
        "incarnation": core.incarnation,
        "generation": shared.freshness.generation(),
        "fresh": shared.freshness.is_fresh(now),
        "joined": shared.freshness.joined(),
        "in_force": shared.freshness.in_force(now),
        "roster": shared.freshness.roster().len(),
        "keepers": view.owners.len(),
        "kept": core.rates.owned_slices().len(),
        "misplaced": misplaced,
        "asks": core.rates.lease_requests.load(Relaxed),
        "denials": core.rates.denials.load(Relaxed),
        "attempts": core.egress.attempt_count(),
        "services": services,
    }))?)
}
