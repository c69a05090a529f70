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
    node::{Core, configure, follow, gossip, keep, listen, register, tasks},
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
const ASKED_NOTICE: Duration = Duration::from_millis(2_900);

/// How often the drain looks whether requests still run.
const DRAIN_EVERY: Duration = Duration::from_millis(50);

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
    pub fn own(settings: &Settings) -> Self {
        Self {
            platform: http_platform(&settings.platform),
            feed: None,
            dialect: Dialect::default(),
        }
    }
}

/// Runs a node until it is told to stop. `extra` starts what else serves the deployment.
///
/// # Errors
/// [`Error::Listen`] when an address cannot be listened on, or what `extra` returns.
pub async fn run(
    settings: Settings,
    deployment: Deployment,
    extra: impl AsyncFnOnce(&Arc<Core>) -> Result<(), Error>,
) -> Result<(), Error> {
    let callers = listen::reserve(settings.callers)?;
    let fleet = listen::bind(settings.fleet_listen).await?;
    let local = listen::bind(settings.local).await?;
    let socket = UdpSocket::bind(settings.fleet_listen)
        .await
        .map_err(listen::listen_error(settings.fleet_listen))?;
    let core = Core::new(settings, Arc::new(SystemClock::new()), deployment);
    let centre = core.settings.centre.as_str();
    spdlog::info!("node starts", kv: { vm = &*core.address, centre, incarnation = core.incarnation });
    let (stop, stopping) = watch::channel(false);
    start(&core, Arc::new(socket));
    tokio::spawn(listen::serve_fleet(Arc::clone(&core), fleet));
    tokio::spawn(serve_local(Arc::clone(&core), local));
    tokio::spawn(listen::serve_callers(Arc::clone(&core), callers, stopping));
    extra(&core).await?;
    told_to_stop().await?;
    shut_down(&core, &stop).await;
    Ok(())
}

fn start(core: &Arc<Core>, socket: Arc<UdpSocket>) {
    let core = || Arc::clone(core);
    tokio::spawn(gossip::pull(core(), Arc::clone(&socket)));
    tokio::spawn(gossip::receive(core(), socket));
    tokio::spawn(gossip::catch_up(core()));
    tokio::spawn(register::register(core()));
    tokio::spawn(tasks::render(core()));
    tokio::spawn(tasks::sweep(core()));
    match core().feed.clone() {
        Some(feed) => {
            tokio::spawn(follow::follow(core(), feed.clone()));
            tokio::spawn(follow::adopt(core(), feed));
        }
        None => {
            tokio::spawn(configure::poll(core()));
            tokio::spawn(configure::adopt(core()));
            tokio::spawn(keep::keep(core()));
            tokio::spawn(tasks::settle(core()));
        }
    }
}

async fn told_to_stop() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Tells others, hands the rates over, stops accepting, and waits for what runs.
async fn shut_down(core: &Arc<Core>, stop: &watch::Sender<bool>) {
    let shutdown = Shutdown {
        signalled: core.clock.now(),
        grace: core.settings.grace,
    };
    spdlog::info!("node stops", kv: { under_way = core.under_way() });
    core.stop();
    let notice = match core.feed.is_some() {
        true => ASKED_NOTICE,
        false => {
            keep::hand_over(core).await;
            LEAVE_NOTICE
        }
    };
    sleep(notice).await;
    core.close();
    // Nobody listening any more is fine: the node ends anyway.
    let _ = stop.send(true);
    wait_for_idle(core, shutdown.answer_at()).await;
    core.end();
    wait_for_idle(core, shutdown.end_at()).await;
    // The last answers are on their way through the sockets.
    sleep(DRAIN_EVERY).await;
    spdlog::info!("node ends", kv: { under_way = core.under_way() });
}

/// Waits until nothing runs any more, or until an instant.
async fn wait_for_idle(core: &Core, until: Instant) {
    while core.under_way() > 0 && core.clock.now() < until {
        sleep(DRAIN_EVERY).await;
    }
}
