//! Finding out what became of an attempt whose answer did not come.

use std::time::Duration;

use tokio::time::timeout;

use crate::{
    board::TargetView,
    fleet::{
        Link,
        codec::{AttemptId as WireId, Resolution, ResolveRequest},
    },
    node::Core,
    proxy::Attempt,
};

/// How long one way of asking what became of an attempt may take.
pub(super) const RESOLVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Other nodes that are asked to ask, when the direct way is cut.
const RESOLVE_HELPERS: usize = 2;

/// Asks the guard over a new connection, and then through other nodes.
pub(super) async fn resolve(
    core: &Core,
    target: &TargetView,
    attempt: &Attempt,
) -> Option<Resolution> {
    let address = &target.vm.address;
    let direct = core.links.fresh(address).await.ok();
    if let Some(link) = direct
        && let Some(answer) = ask(&link, address, target, attempt, false).await
    {
        return Some(answer);
    }
    let view = core.view.load_full();
    let helpers = view.peers.iter().filter(|vm| vm.address != *address);
    for helper in helpers.take(RESOLVE_HELPERS) {
        let Ok(link) = core.links.get(&helper.address).await else {
            continue;
        };
        if let Some(answer) = ask(&link, &helper.address, target, attempt, true).await {
            return Some(answer);
        }
    }
    None
}

async fn ask(
    link: &Link,
    address: &str,
    target: &TargetView,
    attempt: &Attempt,
    forward: bool,
) -> Option<Resolution> {
    let request = ResolveRequest {
        attempt: Some(WireId {
            entry: attempt.id.ingress,
            sequence: attempt.id.sequence,
            number: attempt.id.number,
        }),
        guard: target.vm.address.to_string(),
        guard_incarnation: target.vm.incarnation,
        forward,
    };
    let mut client = link.client(address);
    let reply = timeout(RESOLVE_TIMEOUT, client.resolve(request)).await;
    match reply.ok()?.ok()?.into_inner().resolution() {
        Resolution::Unknown => None,
        known => Some(known),
    }
}
