//! Starts a node, runs it, and shuts it down without cutting off requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::sleep,
};

use crate::{
    clock::SystemClock,
    error::Error,
    feed::Feed,
    node::{
        Core, configuration, departures, feed_reader, generation_fetch, gossip, listener,
        ownership, periodic_tasks, registration, rollouts,
    },
    ops::serve_local,
    platform::{Platform, http_platform},
    policy::shutdown::Shutdown,
    proxy::HeaderNames,
    settings::Settings,
};

/// How long other nodes have to learn that this one is leaving before it stops accepting requests.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// The same in a deployment with a feed: there, the deployment itself checks the node's readiness once
/// a second, and sends callers elsewhere after two failed checks.
const READINESS_NOTICE: Duration = Duration::from_millis(2_900);

/// How often a node that shuts down checks whether requests still run.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of a node that depend on where it is deployed.
pub struct Deployment {
    /// The platform's table and object store.
    pub platform: Platform,
    /// The feed of configurations, if another program writes them.
    pub feed: Option<Feed>,
    /// The names of the headers that callers and targets use.
    pub header_names: HeaderNames,
}

impl Deployment {
    /// Returns the standard deployment: a platform over HTTP with a head row and chunks, no feed, and
    /// the default header names.
    #[must_use]
    pub fn standard(settings: &Settings) -> Self {
        Self {
            platform: http_platform(&settings.platform),
            feed: None,
            header_names: HeaderNames::default(),
        }
    }
}

/// Runs a node until a shutdown signal arrives, and then shuts it down. `extension` starts further
/// services that the deployment needs.
///
/// # Errors
/// [`Error::Listen`] when a listener can't be bound, [`Error::Io`] when signals can't be handled, or
/// the error of `extension`.
pub async fn run(
    settings: Settings,
    deployment: Deployment,
    extension: impl AsyncFnOnce(&Arc<Core>) -> Result<(), Error>,
) -> Result<(), Error> {
    let callers = listener::reserve(settings.callers)?;
    let fleet = listener::bind(settings.fleet_listen).await?;
    let local = listener::bind(settings.local).await?;
    let socket = UdpSocket::bind(settings.fleet_listen)
        .await
        .map_err(listener::listen_error(settings.fleet_listen))?;
    let core = Core::new(settings, Arc::new(SystemClock::new()), deployment);
    let centre = core.settings.data_centre.as_str();
    spdlog::info!("node is starting", kv: { vm = &*core.address, centre, incarnation = core.incarnation });
    let (shutdown_sender, shutdown_receiver) = watch::channel(false);
    spawn_tasks(&core, Arc::new(socket));
    tokio::spawn(listener::serve_fleet(Arc::clone(&core), fleet));
    tokio::spawn(serve_local(Arc::clone(&core), local));
    tokio::spawn(listener::serve_callers(
        Arc::clone(&core),
        callers,
        shutdown_receiver,
    ));
    extension(&core).await?;
    wait_for_signal().await?;
    shut_down(&core, &shutdown_sender).await;
    Ok(())
}

fn spawn_tasks(core: &Arc<Core>, socket: Arc<UdpSocket>) {
    let core = || Arc::clone(core);
    tokio::spawn(gossip::pull(core(), Arc::clone(&socket)));
    tokio::spawn(gossip::receive(core(), socket));
    tokio::spawn(gossip::catch_up(core()));
    tokio::spawn(registration::register(core()));
    tokio::spawn(periodic_tasks::render_views(core()));
    tokio::spawn(periodic_tasks::sweep(core()));
    match core().feed.clone() {
        Some(feed) => {
            tokio::spawn(feed_reader::follow(core(), feed.clone()));
            tokio::spawn(departures::keep(core()));
            if core().settings.rollout.is_some() {
                tokio::spawn(rollouts::conduct(core(), feed.clone()));
            }
            tokio::spawn(generation_fetch::fetch_newer(core(), feed));
        }
        None => {
            tokio::spawn(configuration::poll_head(core()));
            tokio::spawn(configuration::install_newer(core()));
            tokio::spawn(ownership::maintain(core()));
            tokio::spawn(periodic_tasks::settle_leases(core()));
        }
    }
}

async fn wait_for_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Announces that the node is leaving, releases its slices, stops accepting requests, and waits for
/// those that still run. While its target works, the node accepts the target's calls.
async fn shut_down(core: &Arc<Core>, sender: &watch::Sender<bool>) {
    let deadlines = Shutdown {
        signalled: core.clock.now(),
        grace: core.settings.grace,
    };
    spdlog::info!("node is shutting down", kv: { under_way = core.active_requests() });
    core.begin_shutdown();
    let notice = match core.feed.is_some() {
        true => READINESS_NOTICE,
        false => {
            ownership::release_all(core).await;
            LEAVE_NOTICE
        }
    };
    sleep(notice).await;
    core.reject_requests(deadlines.answer_at());
    // The target may have to make calls before it can respond.
    let is_done = |core: &Core| core.admission.total_load() == 0;
    wait_until_done(core, deadlines.answer_at(), is_done).await;
    // Without a receiver, no listener is left to shut down.
    let _ = sender.send(true);
    wait_until_done(core, deadlines.answer_at(), Core::is_idle).await;
    log_progress(core, "node stops waiting for requests");
    core.terminate();
    let is_done = |core: &Core| core.is_idle() && core.links_served.get() == 0;
    wait_until_done(core, deadlines.end_at(), is_done).await;
    // The last responses may still be in transit through the sockets.
    pause(core, deadlines.end_at()).await;
    log_progress(core, "node has shut down");
}

/// Logs a step of the shutdown with what still runs then.
fn log_progress(core: &Core, step: &str) {
    let (connections, links) = (core.connections.get(), core.links_served.get());
    spdlog::info!("{step}", kv: { under_way = core.active_requests(), connections, links });
}

/// Waits until a node is done, or until an instant.
async fn wait_until_done(core: &Core, until: Instant, is_done: impl Fn(&Core) -> bool) {
    while !is_done(core) && core.clock.now() < until {
        pause(core, until).await;
    }
}

/// Pauses for an interval between two checks, but not beyond an instant.
async fn pause(core: &Core, until: Instant) {
    let left = until.saturating_duration_since(core.clock.now());
    sleep(left.min(DRAIN_CHECK_INTERVAL)).await;
}
