//! The control calls that a node serves to other nodes and to operators.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::timeout;
use tonic::{Request, Response, Status};

use crate::{
    clock::whole_millis,
    config::Digest,
    fleet::codec::{
        BorrowReply, BorrowRequest, DrawReply, DrawRequest, FetchReply, FetchRequest, MembersReply,
        MembersRequest, Resolution as WireResolution, ResolveReply, ResolveRequest, StatusReply,
        StatusRequest, VmStatus, fleet_server::Fleet,
    },
    node::{Core, Shared},
    policy::{
        attempt::{AttemptId, Resolution},
        roster::quorum,
    },
    proxy::{Purpose, Role, forward_draw},
};

/// Timeout for the answer of an egress node to which this node forwards a request to resolve an attempt.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves control calls.
pub struct ControlService(pub Arc<Core>);

#[tonic::async_trait]
impl Fleet for ControlService {
    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        let request = request.into_inner();
        Ok(Response::new(
            self.0.rates.serve_lease_request(&self.0, &request),
        ))
    }

    async fn resolve(
        &self,
        request: Request<ResolveRequest>,
    ) -> Result<Response<ResolveReply>, Status> {
        let request = request.into_inner();
        let resolution = match request.forward && *request.guard != *self.0.address {
            true => self.forward_resolve(request).await?,
            false => self.resolve_attempt(&request)?,
        };
        Ok(Response::new(ResolveReply {
            resolution: resolution.into(),
        }))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let digest = Digest::from_slice(&request.into_inner().digest);
        let digest = digest.ok_or_else(|| Status::invalid_argument("the digest is malformed"))?;
        let content = self.0.chunk(&digest);
        Ok(Response::new(FetchReply {
            found: content.is_some(),
            content: content.map(Vec::from).unwrap_or_default(),
        }))
    }

    async fn members(
        &self,
        request: Request<MembersRequest>,
    ) -> Result<Response<MembersReply>, Status> {
        let digests = request.into_inner().digests;
        let mut shared = self.0.shared();
        let records = shared.members.differing(&digests, usize::MAX);
        Ok(Response::new(MembersReply { records }))
    }

    async fn draw(&self, request: Request<DrawRequest>) -> Result<Response<DrawReply>, Status> {
        let core = &self.0;
        let request = request.into_inner();
        // A borrower in another data centre has already chosen this node as the share's owner.
        let role = match request.borrowed {
            0 => match forward_draw(core, &request).await {
                Ok(reply) => return Ok(Response::new(reply)),
                Err(role) => role,
            },
            _ => Role::Owner,
        };
        let view = core.view.load_full();
        let unknown =
            || Status::not_found("the organisation or service is not in this node's configuration");
        if request.organisation.is_empty() {
            let service = view.index.service(&request.service).ok_or_else(unknown)?;
            let (earned, purpose) = (request.earned, Purpose::from_request(&request));
            let granted = core
                .ingress
                .retry_budgets
                .spend_owned(core, service, earned, purpose);
            return Ok(Response::new(DrawReply { granted, lent: 0 }));
        }
        let organisation = view.index.organisation(&request.organisation);
        let organisation = organisation.ok_or_else(unknown)?;
        let reply = match request.borrowed {
            0 => DrawReply {
                granted: core.quota.grant(core, organisation, role).await,
                lent: 0,
            },
            max => DrawReply {
                granted: false,
                lent: core.quota.transfer(core, organisation, max),
            },
        };
        Ok(Response::new(reply))
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        Ok(Response::new(status(&self.0)))
    }
}

impl ControlService {
    fn resolve_attempt(&self, request: &ResolveRequest) -> Result<WireResolution, Status> {
        let core = &self.0;
        if *request.guard != *core.address {
            return Err(Status::not_found("the request is meant for another node"));
        }
        let id = request
            .attempt
            .ok_or_else(|| Status::invalid_argument("the request names no attempt"))?;
        let id = AttemptId {
            ingress: id.entry,
            sequence: id.sequence,
            number: id.number,
        };
        // An earlier incarnation may have run the attempt; this one has no record of that.
        if request.guard_incarnation != core.incarnation {
            return Ok(WireResolution::Unknown);
        }
        Ok(match core.egress.resolve(id, core.clock.now()) {
            Resolution::NeverSeen => WireResolution::NeverSeenNowBarred,
            Resolution::Cancelled => WireResolution::Cancelled,
            Resolution::Started => WireResolution::Started,
            Resolution::Done => WireResolution::Done,
            Resolution::Unknown => WireResolution::Unknown,
        })
    }

    async fn forward_resolve(&self, mut request: ResolveRequest) -> Result<WireResolution, Status> {
        request.forward = false;
        let egress = request.guard.clone();
        let call = async {
            let link = self.0.links.connect(&egress).await.ok()?;
            let reply = link.client(&egress).resolve(request).await.ok()?;
            Some(reply.into_inner().resolution())
        };
        let reply = timeout(FORWARD_TIMEOUT, call).await.ok().flatten();
        reply.ok_or_else(|| Status::unavailable("the egress node does not answer"))
    }
}

fn status(core: &Core) -> StatusReply {
    let now = core.clock.now();
    let shared = core.shared();
    let freshness = &shared.freshness;
    let confirmed = freshness
        .confirmed()
        .map(|at| now.saturating_duration_since(at));
    let quorum = quorum(freshness.roster().len());
    StatusReply {
        vm: core.address.to_string(),
        incarnation: core.incarnation,
        generation: freshness.generation(),
        fresh: freshness.is_fresh(now),
        joined: freshness.joined(),
        quorum: u32::try_from(quorum).unwrap_or(u32::MAX),
        vms: vm_statuses(&shared, now),
        confirmed_ms: confirmed.map_or(0, whole_millis),
    }
}

fn vm_statuses(shared: &Shared, now: Instant) -> Vec<VmStatus> {
    let roster = shared.freshness.roster();
    let mut out: Vec<VmStatus> = shared
        .members
        .records()
        .map(|record| {
            let last_alive = shared.freshness.last_alive(&record.vm);
            let age = last_alive.map(|at| now.saturating_duration_since(at).as_millis());
            let generation = match shared.freshness.is_holder(&record.vm) {
                true => shared.freshness.generation(),
                false => record.generation,
            };
            VmStatus {
                vm: record.vm.clone(),
                incarnation: record.incarnation,
                epoch: record.epoch,
                generation,
                joined: record.joined,
                rostered: roster.contains(&record.vm),
                age_ms: age.map_or(u32::MAX, |a| u32::try_from(a).unwrap_or(u32::MAX)),
                data_centre: record.data_centre.clone(),
                targets: u32::try_from(record.targets.len()).unwrap_or(u32::MAX),
            }
        })
        .collect();
    for vm in roster.iter().filter(|vm| shared.members.get(vm).is_none()) {
        out.push(VmStatus {
            vm: vm.clone(),
            rostered: true,
            age_ms: u32::MAX,
            ..VmStatus::default()
        });
    }
    out.sort_by(|a, b| a.vm.cmp(&b.vm));
    out
}
