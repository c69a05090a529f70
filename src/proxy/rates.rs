//! Rates between guards and keepers: loans are asked for, spent and settled here. What this node keeps
//! is in `keeping.rs`.

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
    board::KeeperView,
    config::{Organisation, partition_of},
    fleet::codec::{BorrowRefusal, BorrowReply, BorrowRequest, Settlement, Spend},
    node::Core,
    policy::{
        bucket::{LEASE_TERM, PARTITIONS, TOKEN, slice_of, slices},
        leases::{Account, Lease, TakeResult},
    },
    proxy::{Code, ownership::Ownership},
};

/// How long one keeper is waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// How often all keepers are asked for one request: a second time where a token became due while
/// the answers were under way.
const ASK_ROUNDS: u32 = 2;

/// Spent loans are settled at once when the burst is below this many terms of the rate.
const PROMPT_TERMS: f64 = 10.0;

/// How much emptier a near slice may be than a far one and still be asked first.
const LOCAL_BONUS: f64 = 0.2;

/// A refusal by rate, with the time at which allowance is due.
pub type Refusal = (Code, Option<Duration>);

#[derive(Default)]
struct Borrower {
    account: Mutex<Option<Account>>,
    request_lock: AsyncMutex<()>,
    waiting: AtomicU32,
}

/// Both sides of all rates at this node.
#[derive(Default)]
pub struct Rates {
    borrowers: Mutex<HashMap<String, Arc<Borrower>>>,
    pub(super) ownership: Mutex<Ownership>,
    sequence: AtomicU64,
    /// Requests for loans that were sent to keepers.
    pub lease_requests: AtomicU64,
    /// Requests for loans that were refused here because this node must not lend.
    pub denials: AtomicU64,
}

/// Locks what is whole between any two changes, so that a panic elsewhere does no harm.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Names a slice of a partition.
#[must_use]
pub fn slice_key(slice: u32, organisation: &str) -> u32 {
    slice * PARTITIONS + partition_of(organisation, PARTITIONS)
}

impl Rates {
    fn borrower(&self, organisation: &str) -> Arc<Borrower> {
        let mut cells = lock(&self.borrowers);
        if let Some(cell) = cells.get(organisation) {
            return Arc::clone(cell);
        }
        let cell = Arc::<Borrower>::default();
        cells.insert(organisation.to_owned(), Arc::clone(&cell));
        cell
    }

    /// Tells whether every keeper refused a moment ago.
    #[must_use]
    pub fn recent_refusal(&self, organisation: &str, now: Instant) -> Option<Refusal> {
        let cell = self.borrower(organisation);
        let mut account = lock(&cell.account);
        let due = account
            .get_or_insert_with(|| Account::new(now))
            .refused_until(now)?;
        Some((Code::RateSpent, Some(due - now)))
    }

    /// Admits one request, which must start before the returned instant.
    ///
    /// # Errors
    /// [`Refusal`] when no keeper has allowance or none can be reached.
    pub async fn admit(
        &self,
        core: &Core,
        organisation: &Organisation,
    ) -> Result<Instant, Refusal> {
        let cell = self.borrower(&organisation.name);
        if let Some(result) = try_take(core, &cell) {
            return result;
        }
        cell.waiting.fetch_add(1, Relaxed);
        let _asking = cell.request_lock.lock().await;
        let result = match try_take(core, &cell) {
            Some(result) => result,
            None => self.request_lease(core, organisation, &cell).await,
        };
        cell.waiting.fetch_sub(1, Relaxed);
        result
    }

    /// Asks the keepers of all slices in turn until one lends.
    async fn request_lease(
        &self,
        core: &Core,
        organisation: &Organisation,
        cell: &Borrower,
    ) -> Result<Instant, Refusal> {
        let mut due = Duration::ZERO;
        for _ in 0..ASK_ROUNDS {
            let asked = core.clock.now();
            if let Some(result) = self.ask_owners(core, organisation, cell).await {
                return result;
            }
            let mut account = lock(&cell.account);
            let account = account.get_or_insert_with(|| Account::new(asked));
            due = account.next_token(organisation.rate);
            account.record_refusal(due, asked);
            if core.clock.now() < asked + due {
                break;
            }
        }
        Err((Code::RateSpent, Some(due)))
    }

    /// Asks the keepers of all slices once; `None` when those that answered have too little.
    async fn ask_owners(
        &self,
        core: &Core,
        organisation: &Organisation,
        cell: &Borrower,
    ) -> Option<Result<Instant, Refusal>> {
        let mut answered = false;
        let order = owners_by_fullness(core, cell, organisation);
        for (i, (slice, keeper)) in order.iter().enumerate() {
            let last = i + 1 == order.len();
            let asked = self.ask_owner(core, organisation, cell, (*slice, last), keeper);
            let Some(reply) = asked.await else {
                continue;
            };
            match reply.refusal() {
                BorrowRefusal::None => {
                    if let Some(result) = try_take(core, cell) {
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
        cell: &Borrower,
        (slice, last): (u32, bool),
        keeper: &KeeperView,
    ) -> Option<BorrowReply> {
        self.lease_requests.fetch_add(1, Relaxed);
        let sequence = self.sequence.fetch_add(1, Relaxed) + 1;
        let sent = core.clock.now();
        let mut request = lease_request(core, organisation, cell, slice, keeper, sequence);
        if last {
            // After this one nobody else can complete a part of a token.
            let held = lock(&cell.account).as_ref().map_or(0, Account::available);
            request.least = TOKEN.saturating_sub(held);
        }
        let reply = if keeper.vm.address == core.address {
            self.grant_lease(core, &request)
        } else {
            borrow_from(core, &keeper.vm.address, request).await?
        };
        if let Some(account) = lock(&cell.account).as_mut()
            && matches!(reply.refusal(), BorrowRefusal::None | BorrowRefusal::Empty)
        {
            account.record_level(slice, reply.left, core.clock.now());
        }
        if reply.granted > 0 {
            // The term counts from the sending, and the clock is read again at each start.
            let loan = Lease {
                slice,
                owner: keeper.vm.address.to_string(),
                sequence,
                granted: reply.granted,
                spent: 0,
                spends: Vec::new(),
                expires: sent + Duration::from_millis(u64::from(reply.term_ms)),
            };
            if let Some(account) = lock(&cell.account).as_mut() {
                account.add_lease(loan);
            }
        }
        Some(reply)
    }

    /// Gives back what is left of loans that end soon. Called every few tens of milliseconds.
    pub async fn settle_leases(&self, core: &Core) {
        let now = core.clock.now();
        let cells: Vec<(String, Arc<Borrower>)> = lock(&self.borrowers)
            .iter()
            .map(|(name, cell)| (name.clone(), Arc::clone(cell)))
            .collect();
        for (name, cell) in cells {
            self.settle_borrower(core, &name, &cell, now).await;
        }
        lock(&self.borrowers).retain(|_, cell| {
            let idle = lock(&cell.account).as_ref().is_none_or(|a| a.is_idle(now));
            !idle || Arc::strong_count(cell) > 1
        });
    }

    async fn settle_borrower(
        &self,
        core: &Core,
        organisation: &str,
        cell: &Borrower,
        now: Instant,
    ) {
        loop {
            let closed = {
                let mut account = lock(&cell.account);
                let Some(account) = account.as_mut() else {
                    return;
                };
                account.close_expiring(now);
                let Some((keeper, slice)) = account.unsettled() else {
                    return;
                };
                let loans = account.take_closed(&keeper, slice);
                (keeper, slice, loans)
            };
            let (keeper, slice, loans) = closed;
            // Where the burst is large beside the rate, spent loans may lapse by themselves.
            if !settles_promptly(core, organisation) && loans.iter().all(|l| l.spent == l.granted) {
                continue;
            }
            let request = BorrowRequest {
                organisation: organisation.to_owned(),
                slice,
                borrower: core.address.to_string(),
                incarnation: core.incarnation,
                sequence: 0,
                wanted: 0,
                settled: settlements(loans, now),
                least: 0,
            };
            if *keeper == *core.address {
                self.grant_lease(core, &request);
            } else {
                borrow_from(core, &keeper, request).await;
            }
        }
    }
}

fn try_take(core: &Core, cell: &Borrower) -> Option<Result<Instant, Refusal>> {
    let now = core.clock.now();
    let mut account = lock(&cell.account);
    match account
        .get_or_insert_with(|| Account::new(now))
        .try_take(now)
    {
        TakeResult::Admitted(until) => Some(Ok(until)),
        TakeResult::Refused(due) => Some(Err((Code::RateSpent, Some(due - now)))),
        TakeResult::NeedLease => None,
    }
}

/// The fullest slice goes first; among slices that are about as full, near keepers do.
fn owners_by_fullness(
    core: &Core,
    cell: &Borrower,
    organisation: &Organisation,
) -> Vec<(u32, KeeperView)> {
    let view = core.view.load();
    let now = core.clock.now();
    let count = slices(organisation.burst, view.index.document.data_centres.len());
    let mut account = lock(&cell.account);
    let account = account.get_or_insert_with(|| Account::new(now));
    let mut order: Vec<(f64, u32, KeeperView)> = (0..count)
        .filter_map(|slice| {
            let keeper = view.keepers.get(&slice_key(slice, &organisation.name))?;
            let (rate, burst) = slice_of(organisation.rate, organisation.burst, count, slice);
            let near = if keeper.near { LOCAL_BONUS } else { 0.0 };
            let fullness = account.fullness(slice, rate, burst, now) + near;
            Some((fullness, slice, keeper.clone()))
        })
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    order
        .into_iter()
        .map(|(_, slice, keeper)| (slice, keeper))
        .collect()
}

fn lease_request(
    core: &Core,
    organisation: &Organisation,
    cell: &Borrower,
    slice: u32,
    keeper: &KeeperView,
    sequence: u64,
) -> BorrowRequest {
    let now = core.clock.now();
    let waiting = cell.waiting.load(Relaxed);
    let mut account = lock(&cell.account);
    let account = account.get_or_insert_with(|| Account::new(now));
    let wanted = account.wanted(waiting, now);
    BorrowRequest {
        organisation: organisation.name.clone(),
        slice,
        borrower: core.address.to_string(),
        incarnation: core.incarnation,
        sequence,
        wanted,
        settled: settlements(account.take_closed(&keeper.vm.address, slice), now),
        least: 0,
    }
}

/// Tells whether loans that count as out for a whole term would take a good part of the burst.
fn settles_promptly(core: &Core, organisation: &str) -> bool {
    let view = core.view.load();
    let organisation = view.index.organisation(organisation);
    organisation
        .is_some_and(|o| f64::from(o.burst) < PROMPT_TERMS * o.rate * LEASE_TERM.as_secs_f64())
}

fn settlements(loans: Vec<Lease>, now: Instant) -> Vec<Settlement> {
    loans
        .into_iter()
        .map(|l| Settlement {
            sequence: l.sequence,
            spent: l
                .spends
                .iter()
                .map(|(amount, at)| spend(*amount, now - *at))
                .collect(),
        })
        .collect()
}

fn spend(amount: u32, age: Duration) -> Spend {
    let age_us = u32::try_from(age.as_micros()).unwrap_or(u32::MAX);
    Spend { amount, age_us }
}

async fn borrow_from(core: &Core, keeper: &str, request: BorrowRequest) -> Option<BorrowReply> {
    let call = async {
        let link = core.links.get(keeper).await.ok()?;
        let reply = link.client(keeper).borrow(request).await.ok()?;
        Some(reply.into_inner())
    };
    timeout(ASK_TIMEOUT, call).await.ok().flatten()
}
