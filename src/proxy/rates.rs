//! The borrower's side of rate limits: leases of tokens are requested from the owners of slices, spent
//! and settled. The owner's side is in `ownership.rs`.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use tokio::{sync::Mutex as AsyncMutex, time::timeout};

use crate::{
    board::OwnerView,
    config::{Organisation, partition_of},
    fleet::codec::{BorrowRefusal, BorrowReply, BorrowRequest, Settlement, Spend},
    node::Core,
    policy::{
        bucket::{LEASE_TERM, PARTITIONS, TOKEN, slice_count, slice_size},
        leases::{Account, Lease, SpendResult},
    },
    proxy::{Code, ownership::Ownership},
};

/// Timeout of a request to an owner.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// How many times all owners are asked for one request at most. They are asked again if a token became
/// available while the answers were under way.
const ASK_ROUNDS: u32 = 2;

/// Leases that are fully spent are settled before they expire if the burst is smaller than the number
/// of tokens that arrive in this many lease terms.
const PROMPT_TERMS: f64 = 10.0;

/// How much less full, as a fraction of the burst, a local owner's slice may be than a remote
/// owner's and still be asked first.
const LOCAL_BONUS: f64 = 0.2;

/// A refusal by the rate limit, with the time until a token is expected if that is known.
pub type Refusal = (Code, Option<Duration>);

/// This node's borrowing for one organisation.
#[derive(Default)]
struct Borrower {
    account: Mutex<Option<Account>>,
    /// Held while leases are requested, so that only one request does so at a time.
    request_lock: AsyncMutex<()>,
    /// Number of requests that wait for a token.
    waiting: AtomicU32,
}

/// This node's state of all rate limits, as borrower and as owner.
#[derive(Default)]
pub struct Rates {
    borrowers: Mutex<HashMap<String, Arc<Borrower>>>,
    pub(super) ownership: Mutex<Ownership>,
    /// Sequence number of the last request for a lease.
    sequence: AtomicU64,
    /// Number of requests for leases made to owners, this node included.
    pub lease_requests: AtomicU64,
    /// Number of requests to this node that it refused because it doesn't own the slice or must not
    /// grant leases.
    pub denials: AtomicU64,
}

/// Locks a mutex and ignores poisoning. Only for data that is consistent after every single change, so
/// that a panic while it is locked does no harm.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the key of an organisation's slice: the slice and the partition in one number.
#[must_use]
pub fn slice_key(slice: u32, organisation: &str) -> u32 {
    slice * PARTITIONS + partition_of(organisation, PARTITIONS)
}

impl Rates {
    fn borrower(&self, organisation: &str) -> Arc<Borrower> {
        let mut borrowers = lock(&self.borrowers);
        if let Some(borrower) = borrowers.get(organisation) {
            return Arc::clone(borrower);
        }
        let borrower = Arc::<Borrower>::default();
        borrowers.insert(organisation.to_owned(), Arc::clone(&borrower));
        borrower
    }

    /// Returns the refusal that holds for an organisation, if all owners have refused recently.
    #[must_use]
    pub fn recent_refusal(&self, organisation: &str, now: Instant) -> Option<Refusal> {
        let borrower = self.borrower(organisation);
        let mut account = lock(&borrower.account);
        let until = account
            .get_or_insert_with(|| Account::new(now))
            .refused_until(now)?;
        Some((Code::RateSpent, Some(until - now)))
    }

    /// Admits one request, which must start before the returned instant.
    ///
    /// # Errors
    /// `Refusal` when no owner has a token or none of them accepts the request.
    pub async fn admit(
        &self,
        core: &Core,
        organisation: &Organisation,
    ) -> Result<Instant, Refusal> {
        let borrower = self.borrower(&organisation.name);
        if let Some(result) = try_spend(core, &borrower) {
            return result;
        }
        borrower.waiting.fetch_add(1, Relaxed);
        let _lock = borrower.request_lock.lock().await;
        let result = match try_spend(core, &borrower) {
            Some(result) => result,
            None => self.request_lease(core, organisation, &borrower).await,
        };
        borrower.waiting.fetch_sub(1, Relaxed);
        result
    }

    /// Asks the owners of all slices in turn until a token is available.
    async fn request_lease(
        &self,
        core: &Core,
        organisation: &Organisation,
        borrower: &Borrower,
    ) -> Result<Instant, Refusal> {
        let mut retry_after = Duration::ZERO;
        for _ in 0..ASK_ROUNDS {
            let asked = core.clock.now();
            if let Some(result) = self.ask_owners(core, organisation, borrower).await {
                return result;
            }
            let mut account = lock(&borrower.account);
            let account = account.get_or_insert_with(|| Account::new(asked));
            retry_after = account.retry_after(organisation.rate);
            account.record_refusal(retry_after, asked);
            if core.clock.now() < asked + retry_after {
                break;
            }
        }
        Err((Code::RateSpent, Some(retry_after)))
    }

    /// Asks the owners of all slices once. Returns `None` if those that answered had too few tokens.
    async fn ask_owners(
        &self,
        core: &Core,
        organisation: &Organisation,
        borrower: &Borrower,
    ) -> Option<Result<Instant, Refusal>> {
        let mut answered = false;
        let owners = owners_by_fullness(core, borrower, organisation);
        for (i, (slice, owner)) in owners.iter().enumerate() {
            let is_last = i + 1 == owners.len();
            let reply = self.ask_owner(core, organisation, borrower, (*slice, is_last), owner);
            let Some(reply) = reply.await else {
                continue;
            };
            match reply.refusal() {
                BorrowRefusal::None => {
                    if let Some(result) = try_spend(core, borrower) {
                        return Some(result);
                    }
                    answered = true;
                }
                BorrowRefusal::Empty => answered = true,
                BorrowRefusal::NotKeeper | BorrowRefusal::Stale => {}
            }
        }
        (!answered).then_some(Err((Code::RateUnreachable, None)))
    }

    async fn ask_owner(
        &self,
        core: &Core,
        organisation: &Organisation,
        borrower: &Borrower,
        (slice, is_last): (u32, bool),
        owner: &OwnerView,
    ) -> Option<BorrowReply> {
        self.lease_requests.fetch_add(1, Relaxed);
        let sequence = self.sequence.fetch_add(1, Relaxed) + 1;
        let sent = core.clock.now();
        let mut request = lease_request(core, organisation, borrower, slice, owner, sequence);
        if is_last {
            // No other owner is asked after this one, so a fraction that doesn't complete a token
            // is useless.
            let available = lock(&borrower.account)
                .as_ref()
                .map_or(0, Account::available);
            request.least = TOKEN.saturating_sub(available);
        }
        let reply = if owner.vm.address == core.address {
            self.serve_lease_request(core, &request)
        } else {
            borrow_from(core, &owner.vm.address, request).await?
        };
        if let Some(account) = lock(&borrower.account).as_mut()
            && matches!(reply.refusal(), BorrowRefusal::None | BorrowRefusal::Empty)
        {
            account.record_level(slice, reply.left, core.clock.now());
        }
        if reply.granted > 0 {
            // The term counts from when the request was sent, and the clock is read again when a
            // request starts.
            let lease = Lease {
                slice,
                owner: owner.vm.address.to_string(),
                sequence,
                granted: reply.granted,
                spent: 0,
                spends: Vec::new(),
                expires: sent + Duration::from_millis(u64::from(reply.term_ms)),
            };
            if let Some(account) = lock(&borrower.account).as_mut() {
                account.add_lease(lease);
            }
        }
        Some(reply)
    }

    /// Closes leases that expire soon and settles all closed ones, which returns unspent tokens to the
    /// owners. Called every few tens of milliseconds.
    pub async fn settle_leases(&self, core: &Core) {
        let now = core.clock.now();
        let borrowers: Vec<(String, Arc<Borrower>)> = lock(&self.borrowers)
            .iter()
            .map(|(name, borrower)| (name.clone(), Arc::clone(borrower)))
            .collect();
        for (name, borrower) in borrowers {
            self.settle_borrower(core, &name, &borrower, now).await;
        }
        lock(&self.borrowers).retain(|_, borrower| {
            let idle = lock(&borrower.account)
                .as_ref()
                .is_none_or(|a| a.is_idle(now));
            !idle || Arc::strong_count(borrower) > 1
        });
    }

    async fn settle_borrower(
        &self,
        core: &Core,
        organisation: &str,
        borrower: &Borrower,
        now: Instant,
    ) {
        loop {
            let closed = {
                let mut account = lock(&borrower.account);
                let Some(account) = account.as_mut() else {
                    return;
                };
                account.close_expiring(now);
                let Some((owner, slice)) = account.unsettled() else {
                    return;
                };
                let leases = account.take_closed(&owner, slice);
                (owner, slice, leases)
            };
            let (owner, slice, leases) = closed;
            // If the burst is large relative to the rate, fully spent leases may simply expire.
            if !settles_promptly(core, organisation) && leases.iter().all(|l| l.spent == l.granted)
            {
                continue;
            }
            let request = BorrowRequest {
                organisation: organisation.to_owned(),
                slice,
                borrower: core.address.to_string(),
                incarnation: core.incarnation,
                sequence: 0,
                wanted: 0,
                settled: to_settlements(leases, now),
                least: 0,
            };
            if *owner == *core.address {
                self.serve_lease_request(core, &request);
            } else {
                borrow_from(core, &owner, request).await;
            }
        }
    }
}

/// Spends one token for a request; `None` if the owners must be asked for a lease first.
fn try_spend(core: &Core, borrower: &Borrower) -> Option<Result<Instant, Refusal>> {
    let now = core.clock.now();
    let mut account = lock(&borrower.account);
    match account
        .get_or_insert_with(|| Account::new(now))
        .try_spend(now)
    {
        SpendResult::Admitted(until) => Some(Ok(until)),
        SpendResult::Refused(until) => Some(Err((Code::RateSpent, Some(until - now)))),
        SpendResult::NeedLease => None,
    }
}

/// Returns the slices of an organisation with their owners, the fullest first. Among slices that are
/// about equally full, those of local owners go first.
fn owners_by_fullness(
    core: &Core,
    borrower: &Borrower,
    organisation: &Organisation,
) -> Vec<(u32, OwnerView)> {
    let view = core.view.load();
    let now = core.clock.now();
    let count = slice_count(organisation.burst, view.index.document.data_centres.len());
    let mut account = lock(&borrower.account);
    let account = account.get_or_insert_with(|| Account::new(now));
    let mut order: Vec<(f64, u32, OwnerView)> = (0..count)
        .filter_map(|slice| {
            let owner = view.owners.get(&slice_key(slice, &organisation.name))?;
            let (rate, burst) = slice_size(organisation.rate, organisation.burst, count, slice);
            let bonus = if owner.local { LOCAL_BONUS } else { 0.0 };
            let fullness = account.fullness(slice, rate, burst, now) + bonus;
            Some((fullness, slice, owner.clone()))
        })
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    order
        .into_iter()
        .map(|(_, slice, owner)| (slice, owner))
        .collect()
}

/// Creates a request for a lease, which also settles the closed leases of the slice.
fn lease_request(
    core: &Core,
    organisation: &Organisation,
    borrower: &Borrower,
    slice: u32,
    owner: &OwnerView,
    sequence: u64,
) -> BorrowRequest {
    let now = core.clock.now();
    let waiting = borrower.waiting.load(Relaxed);
    let mut account = lock(&borrower.account);
    let account = account.get_or_insert_with(|| Account::new(now));
    let wanted = account.wanted(waiting, now);
    BorrowRequest {
        organisation: organisation.name.clone(),
        slice,
        borrower: core.address.to_string(),
        incarnation: core.incarnation,
        sequence,
        wanted,
        settled: to_settlements(account.take_closed(&owner.vm.address, slice), now),
        least: 0,
    }
}

/// Returns whether fully spent leases must be settled before they expire, because leases that stay
/// outstanding for a whole term would take a considerable part of the burst.
fn settles_promptly(core: &Core, organisation: &str) -> bool {
    let view = core.view.load();
    let organisation = view.index.organisation(organisation);
    organisation
        .is_some_and(|o| f64::from(o.burst) < PROMPT_TERMS * o.rate * LEASE_TERM.as_secs_f64())
}

fn to_settlements(leases: Vec<Lease>, now: Instant) -> Vec<Settlement> {
    leases
        .into_iter()
        .map(|l| Settlement {
            sequence: l.sequence,
            spent: l
                .spends
                .iter()
                .map(|(amount, at)| to_spend(*amount, now - *at))
                .collect(),
        })
        .collect()
}

fn to_spend(amount: u32, age: Duration) -> Spend {
    let age_us = u32::try_from(age.as_micros()).unwrap_or(u32::MAX);
    Spend { amount, age_us }
}

async fn borrow_from(core: &Core, owner: &str, request: BorrowRequest) -> Option<BorrowReply> {
    let call = async {
        let link = core.links.get(owner).await.ok()?;
        let reply = link.client(owner).borrow(request).await.ok()?;
        Some(reply.into_inner())
    };
    timeout(ASK_TIMEOUT, call).await.ok().flatten()
}
