//! Draws on organisations' quotas where each data centre grants its part of them alone.
//!
//! The node that holds a part is found by rendezvous among the nodes of the data centre. Nothing is
//! agreed on: two holders at once are covered by the excess that the deployment tolerates.

use std::{
    cmp::Reverse,
    collections::HashMap,
    sync::Mutex,
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
    policy::share::{Share, ShareSize},
    proxy::{rates::lock, retries::budget_key},
};

/// How long one holder is waited for; many times what an exchange within a data centre takes.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a node waits for one that goes before it as holder, on behalf of a node that asked it
/// instead: the asking node still waits for its answer then.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(75);

/// How much smaller a part is at a node that stands in for a holder which it does not reach but which is
/// alive: others do reach it, and the two together have to stay within the excess.
const STAND_IN_DIVISOR: u32 = 4;

/// Nodes that are asked before this one grants from its own small part.
const MAX_ASKED: usize = 2;

/// How much smaller than a node's equal part that is: the holders may grant the whole meanwhile, so
/// that all own parts together have to fit into the excess.
const FALLBACK_DIVISOR: u32 = 4;

/// How long after its start a node grants nothing of its own: it may not have heard yet of those that
/// should hold a part before it, and after a loss of power so it is with all.
const STARTUP_DELAY: Duration = Duration::from_secs(1);

/// How long the part of another data centre is waited for.
const BORROW_TIMEOUT: Duration = Duration::from_millis(50);

/// Requests that are asked for at once, so that an uneven load needs few calls.
const BORROWED: u32 = 3;

/// How long nothing more is asked for after all other parts had nothing left.
const BORROW_PAUSE: Duration = Duration::from_millis(300);

type Shares = Mutex<HashMap<String, Share>>;

/// Parts that this node holds.
#[derive(Default)]
pub struct Quota {
    /// Parts of the data centre that this node holds, by organisation.
    owned: Shares,
    /// Parts of this node alone, for when no holder answers.
    fallback: Shares,
    /// Until when other parts are not asked, by organisation.
    borrow_pauses: Mutex<HashMap<String, Instant>>,
}

/// Does something with one of a table of parts. One that is new here fills since the given instant, if
/// no other node can have granted from it.
fn with_share<T>(
    parts: &Shares,
    core: &Core,
    organisation: &Organisation,
    count: u32,
    since: Option<Instant>,
    act: impl FnOnce(&mut Share, ShareSize, Instant) -> T,
) -> T {
    let now = core.clock.now();
    let size = ShareSize::of(
        organisation.rate,
        organisation.burst,
        &core.settings.excess,
        count,
    );
    let mut parts = lock(parts);
    let part = parts
        .entry(organisation.name.clone())
        .or_insert_with(|| match core.settles(now) {
            true => Share::empty(now.max(core.started() + STARTUP_DELAY)),
            false => Share::new(size, since.unwrap_or(now)),
        });
    act(part, size, now)
}

/// Returns how many parts quotas and retry budgets are divided into.
pub(super) fn share_count(core: &Core) -> u32 {
    let centres = core.settings.data_centres.len().max(1);
    u32::try_from(centres).unwrap_or(u32::MAX)
}

/// Orders nodes by who should hold something.
fn rank_owners(mut nodes: Vec<VmView>, key: &str) -> Vec<VmView> {
    nodes.sort_by_cached_key(|vm| Reverse(hash_of(&(&*vm.address, key))));
    nodes
}

/// Who decides about a draw.
pub(super) enum DrawDecision {
    /// Another node, which has.
    Decided(bool),
    /// This one, in this role.
    DecideHere(Role),
    /// Nobody that answers.
    NoAnswer,
}

value! {
    /// As what a node grants from a part.
    pub enum Role {
        /// It holds the part.
        Owner,
        /// The holder is alive, but does not answer this node.
        StandIn,
    }
}

/// Asks the nodes of the data centre that should hold something, in order, until one answers or it is
/// this node's turn.
pub(super) async fn ask_share_owner(core: &Core, key: &str, request: &DrawRequest) -> DrawDecision {
    let near = core.view.load().near.clone();
    let mut role = Role::Owner;
    for holder in rank_owners(near, key).iter().take(MAX_ASKED) {
        if holder.address == core.address {
            return DrawDecision::DecideHere(role);
        }
        if let Some(reply) = ask_with_timeout(core, key, holder, request, ASK_TIMEOUT).await {
            return DrawDecision::Decided(reply.granted);
        }
        role = Role::StandIn;
    }
    DrawDecision::NoAnswer
}

/// Returns the node that should hold something for this data centre; `None` when that is this one.
fn preceding_owner(core: &Core, key: &str) -> Option<VmView> {
    let near = core.view.load().near.clone();
    let first = rank_owners(near, key).into_iter().next();
    first.filter(|first| first.address != core.address)
}

/// Returns since when this node holds the parts that it holds now: since the nodes of its data centre are
/// the same.
fn owned_since(core: &Core) -> Option<Instant> {
    core.view.load().near_since
}

/// Passes a draw that another node asked this one for on to the node that should hold the part, if that
/// is known here: until nodes agree on who is alive, several would grant the same part.
///
/// # Errors
/// The role in which this node decides itself.
pub async fn forward_draw(core: &Core, request: &DrawRequest) -> Result<DrawReply, Role> {
    let key = match request.organisation.is_empty() {
        true => budget_key(&request.service),
        false => request.organisation.clone(),
    };
    let Some(first) = preceding_owner(core, &key) else {
        return Err(Role::Owner);
    };
    let reply = ask_with_timeout(core, &key, &first, request, FORWARD_TIMEOUT).await;
    reply.ok_or(Role::StandIn)
}

async fn ask_with_timeout(
    core: &Core,
    key: &str,
    holder: &VmView,
    request: &DrawRequest,
    longest: Duration,
) -> Option<DrawReply> {
    let asked = timeout(longest, ask(core, holder, request.clone())).await;
    let reply = asked.ok().flatten();
    if reply.is_none() {
        let holder = &*holder.address;
        spdlog::warn!("holder does not answer", kv: { key, holder });
    }
    reply
}

impl Quota {
    /// Draws one request of an organisation, and tells whether it is granted.
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

    /// Draws from the small part of this node alone.
    fn draw_fallback(&self, core: &Core, organisation: &Organisation) -> bool {
        let nodes = core
            .settings
            .data_centres
            .len()
            .max(core.view.load().nodes as usize);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let count = FALLBACK_DIVISOR.saturating_mul(nodes);
        with_share(
            &self.fallback,
            core,
            organisation,
            count,
            None,
            Share::try_draw,
        )
    }

    /// Grants one request from the part that this node holds for its data centre, or from that of
    /// another one, if one is left.
    pub async fn grant(&self, core: &Core, organisation: &Organisation, role: Role) -> bool {
        let (count, since) = match role {
            Role::Owner => (share_count(core), owned_since(core)),
            Role::StandIn => (STAND_IN_DIVISOR * share_count(core), None),
        };
        if with_share(
            &self.owned,
            core,
            organisation,
            count,
            since,
            Share::try_draw,
        ) {
            return true;
        }
        let lent = self.borrow(core, organisation).await;
        with_share(
            &self.owned,
            core,
            organisation,
            count,
            since,
            |part, size, now| {
                part.transfer_in(lent);
                let granted = part.try_draw(size, now);
                if !granted {
                    let (name, left) = (organisation.name.as_str(), part.remaining());
                    let (rate, burst) = (size.rate, size.burst);
                    spdlog::info!("part of a quota spent", kv: { organisation = name, left, rate, burst });
                }
                granted
            },
        )
    }

    /// Lends what this node holds for its data centre to the part of another one; nothing if another
    /// node holds it.
    pub fn transfer(&self, core: &Core, organisation: &Organisation, most: u32) -> u32 {
        if preceding_owner(core, &organisation.name).is_some() {
            return 0;
        }
        let count = share_count(core);
        let since = owned_since(core);
        with_share(
            &self.owned,
            core,
            organisation,
            count,
            since,
            |part, size, now| part.transfer_out(size, most, now),
        )
    }

    async fn borrow(&self, core: &Core, organisation: &Organisation) -> u32 {
        let name = &organisation.name;
        let now = core.clock.now();
        if lock(&self.borrow_pauses)
            .get(name)
            .is_some_and(|until| now < *until)
        {
            return 0;
        }
        let mut far = core.view.load().far.clone();
        far.shuffle(&mut rng());
        for nodes in far {
            let ranked = rank_owners(nodes, name);
            let Some(holder) = ranked.first() else {
                continue;
            };
            let request = DrawRequest {
                organisation: name.clone(),
                borrowed: BORROWED,
                ..DrawRequest::default()
            };
            let asked = timeout(BORROW_TIMEOUT, ask(core, holder, request)).await;
            let lent = asked.ok().flatten().map_or(0, |reply| reply.lent);
            if lent > 0 {
                return lent;
            }
        }
        let until = core.clock.now() + BORROW_PAUSE;
        lock(&self.borrow_pauses).insert(name.clone(), until);
        0
    }
}

async fn ask(core: &Core, holder: &VmView, request: DrawRequest) -> Option<DrawReply> {
    let link = core.links.get(&holder.address).await.ok()?;
    let reply = link.client(&holder.address).draw(request).await.ok()?;
    Some(reply.into_inner())
}
