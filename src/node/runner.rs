//! Starts a node, runs it, and shuts it down without cutting a request.

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
        Core, configuration, feed_reader, gossip, listener, ownership, periodic_tasks, registration,
    },
    ops::serve_local,
    platform::{Platform, http_platform},
    policy::shutdown::Shutdown,
    proxy::Dialect,
    settings::Settings,
};

/// How long others are given to hear that the node leaves, before it stops to accept.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// The same where the deployment itself asks, once a second, whether the node is ready, and sends
/// callers elsewhere after two misses.
const READINESS_NOTICE: Duration = Duration::from_millis(2_900);

/// How often the drain looks whether requests still run.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a node's surroundings decide.
pub struct Deployment {
    /// The platform's table and object store.
    pub platform: Platform,
    /// The feed of configurations, where another program writes them.
    pub feed: Option<Feed>,
    /// What headers are called towards callers and targets.
    pub dialect: Dialect,
}

impl Deployment {
    /// Returns the fleet's own: its head row, its chunks and its names.
    #[must_use]
    pub fn standard(settings: &Settings) -> Self {
        Self {
            platform: http_platform(&settings.platform),
            feed: None,
            dialect: Dialect::default(),
        }
    }
}

/// Runs a node until it is told to stop. `extension` starts what else serves the deployment.
///
/// # Errors
/// [`Error::Listen`] when an address cannot be listened on, or what `extension` returns.
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
    let centre = core.settings.centre.as_str();
    spdlog::info!("node starts", kv: { vm = &*core.address, centre, incarnation = core.incarnation });
    let (shutdown, requested) = watch::channel(false);
    spawn_tasks(&core, Arc::new(socket));
    tokio::spawn(listener::serve_fleet(Arc::clone(&core), fleet));
    tokio::spawn(serve_local(Arc::clone(&core), local));
    tokio::spawn(listener::serve_callers(
        Arc::clone(&core),
        callers,
        requested,
    ));
    extension(&core).await?;
    shutdown_signal().await?;
    shut_down(&core, &shutdown).await;
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
            tokio::spawn(feed_reader::fetch_newer(core(), feed));
        }
        None => {
            tokio::spawn(configuration::poll_head(core()));
            tokio::spawn(configuration::install_newer(core()));
            tokio::spawn(ownership::maintain(core()));
            tokio::spawn(periodic_tasks::settle_leases(core()));
        }
    }
}

async fn shutdown_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Tells others, hands the rates over, stops accepting, and waits for what runs.
async fn shut_down(core: &Arc<Core>, signal: &watch::Sender<bool>) {
    let deadlines = Shutdown {
        told: core.clock.now(),
        grace: core.settings.grace,
    };
    spdlog::info!("node stops", kv: { under_way = core.active_requests() });
    core.begin_shutdown();
    let notice = match core.feed.is_some() {
        true => READINESS_NOTICE,
        false => {
            ownership::release_all(core).await;
            LEAVE_NOTICE
        }
    };
    sleep(notice).await;
    core.reject_requests();
    // Nobody listening any more is fine: the node ends anyway.
    let _ = signal.send(true);
    wait_for_idle(core, deadlines.answer_at()).await;
    core.terminate();
    wait_for_idle(core, deadlines.end_at()).await;
    // The last answers are on their way through the sockets.
    sleep(DRAIN_CHECK_INTERVAL).await;
    spdlog::info!("node ends", kv: { under_way = core.active_requests() });
}

/// Waits until nothing runs any more, or until an instant.
async fn wait_for_idle(core: &Core, until: Instant) {
    while core.active_requests() > 0 && core.clock.now() < until {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
