//! Queries the outcome of an attempt whose response did not arrive.

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

/// Timeout of one query for the outcome of an attempt.
pub(super) const RESOLVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of other nodes that relay the query if the egress node can't be reached directly.
const RESOLVE_RELAYS: usize = 2;

/// Queries the egress node of an attempt over a new connection, and then through other nodes. Returns `None` if
/// no reply tells the outcome.
pub(super) async fn resolve(
    core: &Core,
    target: &TargetView,
    attempt: &Attempt,
) -> Option<Resolution> {
    let address = &target.vm.address;
    let direct = core.links.connect(address).await.ok();
    if let Some(link) = direct
        && let Some(resolution) = request_resolution(&link, address, target, attempt, false).await
    {
        return Some(resolution);
    }
    let view = core.view.load_full();
    let relays = view.peers.iter().filter(|vm| vm.address != *address);
    for relay in relays.take(RESOLVE_RELAYS) {
        let Ok(link) = core.links.get(&relay.address).await else {
            continue;
        };
        if let Some(resolution) =
            request_resolution(&link, &relay.address, target, attempt, true).await
        {
            return Some(resolution);
        }
    }
    None
}

/// Sends one query to the node at `address`; if `forward`, this node relays it to the egress node.
async fn request_resolution(
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
        resolution => Some(resolution),
    }
}
