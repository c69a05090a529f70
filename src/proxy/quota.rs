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
    policy::share::{Part, Size},
    proxy::{rates::lock, retries::key_of},
};

/// How long one holder is waited for; many times what an exchange within a data centre takes.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a node waits for one that goes before it as holder, on behalf of a node that asked it
/// instead: the asking node still waits for its answer then.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(75);

/// How much smaller a part is at a node that stands in for a holder which it does not reach but which is
/// alive: others do reach it, and the two together have to stay within the excess.
const STAND_IN_PARTS: u32 = 4;

/// Nodes that are asked before this one grants from its own small part.
const MOST_ASKED: usize = 2;

/// How much smaller than a node's equal part that is: the holders may grant the whole meanwhile, so
/// that all own parts together have to fit into the excess.
const OWN_PARTS: u32 = 4;

/// How long after its start a node grants nothing of its own: it may not have heard yet of those that
/// should hold a part before it, and after a loss of power so it is with all.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// How long the part of another data centre is waited for.
const BORROW_TIMEOUT: Duration = Duration::from_millis(50);

/// Requests that are asked for at once, so that an uneven load needs few calls.
const BORROWED: u32 = 3;

/// How long nothing more is asked for after all other parts had nothing left.
const BORROW_PAUSE: Duration = Duration::from_millis(300);

type Parts = Mutex<HashMap<String, Part>>;

/// Parts that this node holds.
#[derive(Default)]
pub struct Quota {
    /// Parts of the data centre that this node holds, by organisation.
    held: Parts,
    /// Parts of this node alone, for when no holder answers.
    own: Parts,
    /// Until when other parts are not asked, by organisation.
    pauses: Mutex<HashMap<String, Instant>>,
}

/// Does something with one of a table of parts. One that is new here fills since the given instant, if
/// no other node can have granted from it.
fn with<T>(
    parts: &Parts,
    core: &Core,
    organisation: &Organisation,
    count: u32,
    since: Option<Instant>,
    act: impl FnOnce(&mut Part, Size, Instant) -> T,
) -> T {
    let now = core.clock.now();
    let size = Size::of(
        organisation.rate,
        organisation.burst,
        &core.settings.excess,
        count,
    );
    let mut parts = lock(parts);
    let part = parts
        .entry(organisation.name.clone())
        .or_insert_with(|| match core.settles(now) {
            true => Part::empty(now.max(core.started() + SETTLED_AFTER)),
            false => Part::new(size, since.unwrap_or(now)),
        });
    act(part, size, now)
}

/// Returns how many parts quotas and retry budgets are divided into.
pub(super) fn data_centres(core: &Core) -> u32 {
    let centres = core.settings.data_centres.len().max(1);
    u32::try_from(centres).unwrap_or(u32::MAX)
}

/// Orders nodes by who should hold something.
fn ranked(mut nodes: Vec<VmView>, key: &str) -> Vec<VmView> {
    nodes.sort_by_cached_key(|vm| Reverse(hash_of(&(&*vm.address, key))));
    nodes
}

/// Who decides about a draw.
pub(super) enum Holder {
    /// Another node, which has.
    Other(bool),
    /// This one, in this role.
    This(Role),
    /// Nobody that answers.
    Nobody,
}

value! {
    /// As what a node grants from a part.
    pub enum Role {
        /// It holds the part.
        Holder,
        /// The holder is alive, but does not answer this node.
        StandIn,
    }
}

/// Asks the nodes of the data centre that should hold something, in order, until one answers or it is
/// this node's turn.
pub(super) async fn draw_near(core: &Core, key: &str, request: &DrawRequest) -> Holder {
    let near = core.view.load().near.clone();
    let mut role = Role::Holder;
    for holder in ranked(near, key).iter().take(MOST_ASKED) {
        if holder.address == core.address {
            return Holder::This(role);
        }
        if let Some(reply) = ask_within(core, key, holder, request, ASK_TIMEOUT).await {
            return Holder::Other(reply.granted);
        }
        role = Role::StandIn;
    }
    Holder::Nobody
}

/// Returns the node that should hold something for this data centre; `None` when that is this one.
fn holder_before(core: &Core, key: &str) -> Option<VmView> {
    let near = core.view.load().near.clone();
    let first = ranked(near, key).into_iter().next();
    first.filter(|first| first.address != core.address)
}

/// Returns since when this node holds the parts that it holds now: since the nodes of its data centre are
/// the same.
fn held_since(core: &Core) -> Option<Instant> {
    core.view.load().near_since
}

/// Passes a draw that another node asked this one for on to the node that should hold the part, if that
/// is known here: until nodes agree on who is alive, several would grant the same part.
///
/// # Errors
/// The role in which this node decides itself.
pub async fn pass_on(core: &Core, request: &DrawRequest) -> Result<DrawReply, Role> {
    let key = match request.organisation.is_empty() {
        true => key_of(&request.service),
        false => request.organisation.clone(),
    };
    let Some(first) = holder_before(core, &key) else {
        return Err(Role::Holder);
    };
    let reply = ask_within(core, &key, &first, request, PASS_ON_TIMEOUT).await;
    reply.ok_or(Role::StandIn)
}

async fn ask_within(
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
        match draw_near(core, &organisation.name, &request).await {
            Holder::Other(granted) => granted,
            Holder::This(role) => self.grant(core, organisation, role).await,
            Holder::Nobody => self.draw_own(core, organisation),
        }
    }

    /// Draws from the small part of this node alone.
    fn draw_own(&self, core: &Core, organisation: &Organisation) -> bool {
        let nodes = core
            .settings
            .data_centres
            .len()
            .max(core.view.load().nodes as usize);
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let count = OWN_PARTS.saturating_mul(nodes);
        with(&self.own, core, organisation, count, None, Part::draw)
    }

    /// Grants one request from the part that this node holds for its data centre, or from that of
    /// another one, if one is left.
    pub async fn grant(&self, core: &Core, organisation: &Organisation, role: Role) -> bool {
        let (count, since) = match role {
            Role::Holder => (data_centres(core), held_since(core)),
            Role::StandIn => (STAND_IN_PARTS * data_centres(core), None),
        };
        if with(&self.held, core, organisation, count, since, Part::draw) {
            return true;
        }
        let lent = self.borrow(core, organisation).await;
        with(
            &self.held,
            core,
            organisation,
            count,
            since,
            |part, size, now| {
                part.receive(lent);
                let granted = part.draw(size, now);
                if !granted {
                    let (name, left) = (organisation.name.as_str(), part.left());
                    let (rate, burst) = (size.rate, size.burst);
                    spdlog::info!("part of a quota spent", kv: { organisation = name, left, rate, burst });
                }
                granted
            },
        )
    }

    /// Lends what this node holds for its data centre to the part of another one; nothing if another
    /// node holds it.
    pub fn lend(&self, core: &Core, organisation: &Organisation, most: u32) -> u32 {
        if holder_before(core, &organisation.name).is_some() {
            return 0;
        }
        let count = data_centres(core);
        let since = held_since(core);
        with(
            &self.held,
            core,
            organisation,
            count,
            since,
            |part, size, now| part.lend(size, most, now),
        )
    }

    async fn borrow(&self, core: &Core, organisation: &Organisation) -> u32 {
        let name = &organisation.name;
        let now = core.clock.now();
        if lock(&self.pauses)
            .get(name)
            .is_some_and(|until| now < *until)
        {
            return 0;
        }
        let mut far = core.view.load().far.clone();
        far.shuffle(&mut rng());
        for nodes in far {
            let ranked = ranked(nodes, name);
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
        lock(&self.pauses).insert(name.clone(), until);
        0
    }
}

async fn ask(core: &Core, holder: &VmView, request: DrawRequest) -> Option<DrawReply> {
    let link = core.links.get(&holder.address).await.ok()?;
    let reply = link.client(&holder.address).draw(request).await.ok()?;
    Some(reply.into_inner())
}
