//! Draws on organisations' quotas, for deployments in which each data centre grants its share on its
//! own.
//!
//! The owner of a share is found by rendezvous hashing among the nodes of the data centre. The nodes
//! don't agree on it: requests that two owners grant at the same time are covered by the excess that
//! the deployment tolerates.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{rng, seq::SliceRandom};
use tokio::time::timeout;

use crate::{
    board::VmView,
    config::Organisation,
    fleet::codec::{DrawReply, DrawRequest},
    hash::hash_of,
    node::Core,
    policy::{
        share::{Share, ShareSize},
        tenure::Tenures,
    },
    proxy::{rates::lock, retries::budget_key},
};

/// Timeout of a request to an owner, many times what an exchange within a data centre takes.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a draw that a node forwards to the owner of the share. It is shorter than
/// [`ASK_TIMEOUT`], so that the node which sent the draw still waits for the answer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(75);

/// Divisor of the share at a node that stands in for an owner which is alive but doesn't answer it.
/// Other nodes may still reach that owner, and what both grant together must stay within the excess.
const STAND_IN_DIVISOR: u32 = 4;

/// Number of nodes that are asked as the owner of a share before a node grants from its fallback share.
const MAX_ASKED: usize = 2;

/// How many times smaller a node's fallback share is than an equal share for each node. The owners
/// may grant the whole quota at the same time, so all fallback shares together must fit into the
/// excess.
const FALLBACK_DIVISOR: u32 = 4;

/// How long after its start a node grants nothing on its own. It may have no record yet of the
/// nodes that own the shares; after a loss of power, no node has.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a request to transfer tokens from the share of another data centre.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of tokens requested in one transfer. Several at once keep the calls few under uneven load.
const TRANSFER_SIZE: u32 = 3;

/// How long no transfer is requested after no other share has transferred any tokens.
const TRANSFER_PAUSE: Duration = Duration::from_millis(300);

type Shares = Mutex<HashMap<String, Share>>;

/// The shares of quotas from which this node grants requests.
#[derive(Default)]
pub struct Quota {
    /// Shares of this data centre that this node owns, by organisation.
    owned: Shares,
    /// Shares from which this node grants for owners that don't answer it, by organisation.
    stand_in: Shares,
    /// Fallback shares of this node, used when no owner answers, by organisation.
    fallback: Shares,
    /// Until when no transfers from other shares are requested, by organisation.
    transfer_pauses: Mutex<HashMap<String, Instant>>,
    /// Since when this node has owned what it owns in its data centre.
    tenures: Mutex<Tenures>,
}

/// Applies an operation to the organisation's share in a table, which `new` creates if it is missing.
fn with_share<T>(
    shares: &Shares,
    core: &Core,
    organisation: &Organisation,
    count: u32,
    new: impl FnOnce(ShareSize, Instant) -> Share,
    operation: impl FnOnce(&mut Share, ShareSize, Instant) -> T,
) -> T {
    let now = core.clock.now();
    let size = ShareSize::of(
        organisation.rate,
        organisation.burst,
        &core.settings.excess,
        count,
    );
    let mut shares = lock(shares);
    let share = shares
        .entry(organisation.name.clone())
        .or_insert_with(|| new(size, now));
    if let Some(previous) = share.resize(size) {
        let (name, held) = (organisation.name.as_str(), share.remaining());
        let (burst, previous) = (size.burst, previous.burst);
        spdlog::info!("size of a quota share changed", kv: { organisation = name, held, burst, previous });
    }
    operation(share, size, now)
}

/// Creates a share that is empty, and is refilled from [`STARTUP_DELAY`] after the node's start on. While the node
/// may not know the others yet, it is refilled from `now` at the earliest.
fn new_owned_share(core: &Core, size: ShareSize, now: Instant) -> Share {
    let startup_end = core.started() + STARTUP_DELAY;
    match core.discovering(now) {
        true => Share::empty(size, now.max(startup_end)),
        false => Share::empty(size, startup_end),
    }
}

/// Returns the number of shares of each quota and retry budget: one for each data centre.
pub(super) fn share_count(core: &Core) -> u32 {
    let centres = core.settings.data_centres.len().max(1);
    u32::try_from(centres).unwrap_or(u32::MAX)
}

/// Orders nodes by their precedence as the owner of a key, by rendezvous hashing.
fn rank_owners(mut nodes: Vec<VmView>, key: &str) -> Vec<VmView> {
    nodes.sort_by_cached_key(|vm| Reverse(hash_of(&(&*vm.address, key))));
    nodes
}

/// Returns whether this node is the owner of a key if these nodes are alive.
fn owns(core: &Core, key: &str, nodes: &[Arc<str>]) -> bool {
    let rank = |address: &&Arc<str>| Reverse(hash_of(&(&***address, key)));
    nodes.iter().min_by_key(rank) == Some(&core.address)
}

/// The decision about a draw.
pub(super) enum DrawDecision {
    /// Another node has granted the draw or refused it.
    Decided(bool),
    /// This node has to decide, in this role.
    DecideHere(Role),
    /// No owner answers.
    NoAnswer,
}

value! {
    /// The role in which a node grants from a share.
    pub enum Role {
        /// The node owns the share.
        Owner,
        /// The owner of the share is alive, but doesn't answer this node.
        StandIn,
    }
}

/// Sends a draw to the nodes of this data centre in their precedence as the owner of a key, until one
/// answers or this node is next.
pub(super) async fn ask_share_owner(core: &Core, key: &str, request: &DrawRequest) -> DrawDecision {
    let nodes = core.view.load().local_nodes.clone();
    let mut role = Role::Owner;
    for owner in rank_owners(nodes, key).iter().take(MAX_ASKED) {
        if owner.address == core.address {
            return DrawDecision::DecideHere(role);
        }
        if let Some(reply) = draw_with_timeout(core, key, owner, request, ASK_TIMEOUT).await {
            return DrawDecision::Decided(reply.granted);
        }
        role = Role::StandIn;
    }
    DrawDecision::NoAnswer
}

/// Returns the owner of a key in this data centre if that is another node.
fn other_owner(core: &Core, key: &str) -> Option<VmView> {
    let nodes = core.view.load().local_nodes.clone();
    let owner = rank_owners(nodes, key).into_iter().next();
    owner.filter(|owner| owner.address != core.address)
}

/// Forwards a draw of another node to the owner of the share, unless that is this node. Otherwise
/// several nodes would grant from the same share until all of them agree on which nodes are alive.
///
/// # Errors
/// The role in which this node has to decide itself, if it is the owner or the owner doesn't answer.
pub async fn forward_draw(core: &Core, request: &DrawRequest) -> Result<DrawReply, Role> {
    let key = match request.organisation.is_empty() {
        true => budget_key(&request.service),
        false => request.organisation.clone(),
    };
    let Some(owner) = other_owner(core, &key) else {
        return Err(Role::Owner);
    };
    let reply = draw_with_timeout(core, &key, &owner, request, FORWARD_TIMEOUT).await;
    reply.ok_or(Role::StandIn)
}

async fn draw_with_timeout(
    core: &Core,
    key: &str,
    owner: &VmView,
    request: &DrawRequest,
    limit: Duration,
) -> Option<DrawReply> {
    let result = timeout(limit, send_draw(core, owner, request.clone())).await;
    let reply = result.ok().flatten();
    if reply.is_none() {
        let owner = &*owner.address;
        spdlog::warn!("share owner does not answer", kv: { key, holder = owner });
    }
    reply
}

impl Quota {
    /// Draws a token for one request of an organisation, and returns whether the request is granted.
    pub async fn draw(&self, core: &Core, organisation: &Organisation) -> bool {
        if organisation.rate <= 0.0 {
            return true;
        }
        let request = DrawRequest {
            organisation: organisation.name.clone(),
            ..DrawRequest::default()
        };
        match ask_share_owner(core, &organisation.name, &request).await {
            DrawDecision::Decided(granted) => granted,
            DrawDecision::DecideHere(role) => self.grant(core, organisation, role).await,
            DrawDecision::NoAnswer => self.draw_fallback(core, organisation),
        }
    }

    /// Draws from this node's fallback share.
    fn draw_fallback(&self, core: &Core, organisation: &Organisation) -> bool {
        let nodes = core
            .settings
            .data_centres
            .len()
            .max(core.view.load().node_count as usize);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let count = FALLBACK_DIVISOR.saturating_mul(nodes);
        let new = |size, now| match core.discovering(now) {
            true => new_owned_share(core, size, now),
            false => Share::new(size, now),
        };
        with_share(
            &self.fallback,
            core,
            organisation,
            count,
            new,
            Share::try_draw,
        )
    }

    /// Grants one request from the share that this node owns for its data centre, or with a token from
    /// another data centre's share, and returns whether it is granted.
    pub async fn grant(&self, core: &Core, organisation: &Organisation, role: Role) -> bool {
        if self.with_granting(core, organisation, role, Share::try_draw) {
            return true;
        }
        let transferred = self.request_transfer(core, organisation).await;
        self.with_granting(core, organisation, role, |share, size, now| {
            let granted = share.draw_with(transferred, size, now);
            if !granted {
                let (name, left) = (organisation.name.as_str(), share.remaining());
                let (rate, burst) = (size.rate, size.burst);
                spdlog::info!("share of a quota used up", kv: { organisation = name, left, rate, burst });
            }
            granted
        })
    }

    /// Applies an operation to the share from which this node grants in a role.
    fn with_granting<T>(
        &self,
        core: &Core,
        organisation: &Organisation,
        role: Role,
        operation: impl FnOnce(&mut Share, ShareSize, Instant) -> T,
    ) -> T {
        if role == Role::Owner {
            return self.with_owned(core, organisation, operation);
        }
        let count = STAND_IN_DIVISOR * share_count(core);
        let shares = &self.stand_in;
        with_share(shares, core, organisation, count, Share::empty, operation)
    }

    /// Applies an operation to the share that this node owns for its data centre. The share is empty from when the
    /// node became its owner, or became it again.
    fn with_owned<T>(
        &self,
        core: &Core,
        organisation: &Organisation,
        operation: impl FnOnce(&mut Share, ShareSize, Instant) -> T,
    ) -> T {
        let name = organisation.name.as_str();
        let new = |size, now| new_owned_share(core, size, now);
        let count = share_count(core);
        with_share(
            &self.owned,
            core,
            organisation,
            count,
            new,
            |share, size, now| {
                let held = share.remaining();
                if share.resume(&lock(&self.tenures), now, |nodes| owns(core, name, nodes)) {
                    spdlog::info!("share of a quota has a new owner", kv: { organisation = name, held });
                }
                operation(share, size, now)
            },
        )
    }

    /// Records which nodes of this data centre are alive.
    pub fn observe_nodes(&self, nodes: &[VmView], now: Instant) {
        let addresses = nodes.iter().map(|vm| &vm.address);
        lock(&self.tenures).observe(addresses, now);
    }

    /// Removes up to `max` tokens for another data centre from the share that this node owns for
    /// its own, and returns their number; 0 if another node owns the share.
    pub fn transfer(&self, core: &Core, organisation: &Organisation, max: u32) -> u32 {
        if other_owner(core, &organisation.name).is_some() {
            return 0;
        }
        self.with_owned(core, organisation, |share, size, now| {
            share.transfer_out(size, max, now)
        })
    }

    /// Requests tokens from the shares of the other data centres in random order, until one transfers
    /// any, and returns their number.
    async fn request_transfer(&self, core: &Core, organisation: &Organisation) -> u32 {
        let name = &organisation.name;
        let now = core.clock.now();
        if lock(&self.transfer_pauses)
            .get(name)
            .is_some_and(|until| now < *until)
        {
            return 0;
        }
        let mut centres = core.view.load().remote_nodes.clone();
        centres.shuffle(&mut rng());
        for nodes in centres {
            let ranked = rank_owners(nodes, name);
            let Some(owner) = ranked.first() else {
                continue;
            };
            let request = DrawRequest {
                organisation: name.clone(),
                borrowed: TRANSFER_SIZE,
                ..DrawRequest::default()
            };
            let result = timeout(TRANSFER_TIMEOUT, send_draw(core, owner, request)).await;
            let transferred = result.ok().flatten().map_or(0, |reply| reply.lent);
            if transferred > 0 {
                return transferred;
            }
        }
        let paused_until = core.clock.now() + TRANSFER_PAUSE;
        lock(&self.transfer_pauses).insert(name.clone(), paused_until);
        0
    }
}

async fn send_draw(core: &Core, owner: &VmView, request: DrawRequest) -> Option<DrawReply> {
    let link = core.links.get(&owner.address).await.ok()?;
    let reply = link.client(&owner.address).draw(request).await.ok()?;
    Some(reply.into_inner())
}
