//! Draws on organisations' quotas where each data centre grants its part of them alone.
//!
//! The node that holds a part is found by rendezvous among the nodes of the data centre. Nothing is
//! agreed on: two holders at once are covered by the excess that the deployment tolerates.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::timeout;

use crate::{
    board::VmView,
    config::Organisation,
    fleet::codec::{DrawReply, DrawRequest},
    node::Core,
    policy::share::{Part, Size},
};

/// How long one holder is waited for; many times what an exchange within a data centre takes.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Nodes that are asked before this one grants from its own small part.
const MOST_ASKED: usize = 2;

/// Parts that this node holds.
#[derive(Default)]
pub struct Quota {
    /// Parts of the data centre that this node holds, by organisation.
    held: Mutex<HashMap<String, Part>>,
    /// Parts of this node alone, for when no holder answers.
    own: Mutex<HashMap<String, Part>>,
}

/// Draws from one of a table of parts.
fn draw_from(
    parts: &Mutex<HashMap<String, Part>>,
    core: &Core,
    organisation: &Organisation,
    count: u32,
) -> bool {
    let now = core.clock.now();
    let size = Size::of(
        organisation.rate,
        organisation.burst,
        &core.settings.excess,
        count,
    );
    let mut parts = parts.lock().unwrap_or_else(PoisonError::into_inner);
    parts
        .entry(organisation.name.clone())
        .or_insert_with(|| Part::new(size, now))
        .draw(size, now)
}

/// Orders the nodes of the data centre by who should hold an organisation's part.
fn holders(core: &Core, organisation: &str) -> Vec<VmView> {
    let mut near = core.view.load().near.clone();
    let weight = |vm: &VmView| {
        let mut hasher = DefaultHasher::new();
        (&*vm.address, organisation).hash(&mut hasher);
        hasher.finish()
    };
    near.sort_by_key(|vm| std::cmp::Reverse(weight(vm)));
    near
}

/// Asks the nodes of the data centre that should hold something, in order, until one answers; `own`
/// answers for this node. Returns nothing when nobody does.
pub(super) async fn draw_near(
    core: &Core,
    key: &str,
    request: &DrawRequest,
    own: impl Fn() -> bool,
) -> Option<bool> {
    for holder in holders(core, key).iter().take(MOST_ASKED) {
        if holder.address == core.address {
            return Some(own());
        }
        let asked = timeout(ASK_TIMEOUT, ask(core, holder, request.clone())).await;
        match asked.ok().flatten() {
            Some(reply) => return Some(reply.granted),
            None => {
                let holder = &*holder.address;
                spdlog::warn!("holder does not answer", kv: { key, holder });
            }
        }
    }
    None
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
        let own = || self.grant(core, organisation);
        let drawn = draw_near(core, &organisation.name, &request, own).await;
        drawn.unwrap_or_else(|| {
            let nodes = core.view.load().nodes;
            draw_from(&self.own, core, organisation, nodes)
        })
    }

    /// Grants one request from the part that this node holds for its data centre, if one is left.
    pub fn grant(&self, core: &Core, organisation: &Organisation) -> bool {
        let centres = core.settings.data_centres.len().max(1);
        let centres = u32::try_from(centres).unwrap_or(u32::MAX);
        draw_from(&self.held, core, organisation, centres)
    }
}

async fn ask(core: &Core, holder: &VmView, request: DrawRequest) -> Option<DrawReply> {
    let link = core.links.get(&holder.address).await.ok()?;
    let reply = link.client(&holder.address).draw(request).await.ok()?;
    Some(reply.into_inner())
}
