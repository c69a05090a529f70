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
) -> Result<(), Duration> {
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

impl Quota {
    /// Draws one request of an organisation.
    ///
    /// # Errors
    /// The time until the next one is due, where that is known.
    pub async fn draw(
        &self,
        core: &Core,
        organisation: &Organisation,
    ) -> Result<(), Option<Duration>> {
        if organisation.rate <= 0.0 {
            return Ok(());
        }
        for holder in holders(core, &organisation.name).iter().take(MOST_ASKED) {
            if holder.address == core.address {
                return self.grant(core, organisation).map_err(Some);
            }
            let asked = timeout(ASK_TIMEOUT, ask(core, holder, &organisation.name)).await;
            match asked.ok().flatten() {
                Some(reply) if reply.granted => return Ok(()),
                Some(reply) => {
                    let due = Duration::from_millis(u64::from(reply.due_ms));
                    return Err(Some(due));
                }
                None => {
                    let (organisation, holder) = (organisation.name.as_str(), &*holder.address);
                    spdlog::warn!("quota holder does not answer", kv: { organisation, holder });
                }
            }
        }
        let nodes = core.view.load().nodes;
        draw_from(&self.own, core, organisation, nodes).map_err(Some)
    }

    /// Grants one request from the part that this node holds for its data centre.
    ///
    /// # Errors
    /// The time until the next one is due.
    pub fn grant(&self, core: &Core, organisation: &Organisation) -> Result<(), Duration> {
        let centres = core.settings.data_centres.len().max(1);
        let centres = u32::try_from(centres).unwrap_or(u32::MAX);
        draw_from(&self.held, core, organisation, centres)
    }
}

async fn ask(core: &Core, holder: &VmView, organisation: &str) -> Option<DrawReply> {
    let link = core.links.get(&holder.address).await.ok()?;
    let request = DrawRequest {
        organisation: organisation.to_owned(),
    };
    let reply = link.client(&holder.address).draw(request).await.ok()?;
    Some(reply.into_inner())
}
