//! The ledger in which an egress node records its attempts, and from which it reports the outcome of
//! each.
//!
//! Only "never seen, now barred" and "cancelled" prove that an attempt has not run and never will;
//! see [docs/DESIGN.md](../../docs/DESIGN.md#at-most-once).

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

/// How long the ledger keeps an attempt after it has ended or was barred.
pub const RETENTION: Duration = Duration::from_secs(900);

value! {
    /// Identifies one attempt at one request.
    pub struct AttemptId {
        /// The incarnation of the ingress node.
        pub ingress: u64,
        /// The request's sequence number at the ingress node.
        pub sequence: u64,
        /// The attempt's number within the request, starting at 1.
        pub number: u32,
    }

    /// The progress of an attempt.
    pub enum AttemptState {
        /// It waits for a slot or for a rate token.
        Queued,
        /// Its first byte may have reached the target.
        Started,
        /// Its exchange with the target has ended.
        Done,
        /// It was refused or cancelled before it started.
        Cancelled,
        /// Its outcome was requested before it arrived, so it must not start.
        Barred,
    }

    /// The outcome of an attempt.
    pub enum Resolution {
        /// It has not arrived, and will be refused if it does.
        NeverSeen,
        /// It was refused or cancelled before it started.
        Cancelled,
        /// It has started, and may have been executed.
        Started,
        /// It has ended, and may have been executed.
        Done,
        /// The ledger may have dropped it.
        Unknown,
    }

    /// Why the ledger doesn't accept an attempt.
    pub enum Refusal {
        /// It was barred, and has not been executed.
        Barred,
        /// The ledger already contains it, so another copy may have been executed.
        Repeated,
        /// Its request is not newer than one that the ledger has dropped, so the ledger may have
        /// dropped the attempt as well.
        TooOld,
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ingress,
            sequence,
            number,
        } = self;
        write!(f, "{ingress}.{sequence}.{number}")
    }
}

/// The newest request of one ingress incarnation of which the ledger has dropped an attempt.
#[derive(Debug, Default, Clone, Copy)]
struct Dropped {
    sequence: u64,
}

/// All attempts of which an egress node has a record.
#[derive(Debug, Default)]
pub struct Ledger {
    states: HashMap<AttemptId, AttemptState>,
    /// Attempts that have ended or were barred, the earliest first.
    ended: VecDeque<(Instant, AttemptId)>,
    /// By incarnation of the ingress node.
    dropped: HashMap<u64, Dropped>,
}

impl Ledger {
    /// Returns the number of recorded attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn is_too_old(&self, id: AttemptId) -> bool {
        self.dropped
            .get(&id.ingress)
            .is_some_and(|dropped| id.sequence <= dropped.sequence)
    }

    /// Registers an attempt that has arrived.
    ///
    /// # Errors
    /// [`Refusal`] when the attempt must not be executed.
    pub fn register(&mut self, id: AttemptId) -> Result<(), Refusal> {
        match self.states.get(&id) {
            Some(AttemptState::Barred) => Err(Refusal::Barred),
            Some(_) => Err(Refusal::Repeated),
            None if self.is_too_old(id) => Err(Refusal::TooOld),
            None => {
                self.states.insert(id, AttemptState::Queued);
                Ok(())
            }
        }
    }

    /// Marks an attempt as started if it is queued, and returns whether it was marked.
    ///
    /// The first byte may be sent to the target only when this returns true.
    #[must_use]
    pub fn start(&mut self, id: AttemptId) -> bool {
        match self.states.get_mut(&id) {
            Some(state @ AttemptState::Queued) => {
                *state = AttemptState::Started;
                true
            }
            _ => false,
        }
    }

    /// Ends an attempt. One that had not started becomes cancelled.
    pub fn end(&mut self, id: AttemptId, now: Instant) {
        let Some(state) = self.states.get_mut(&id) else {
            return;
        };
        match state {
            AttemptState::Queued => *state = AttemptState::Cancelled,
            AttemptState::Started => *state = AttemptState::Done,
            _ => return,
        }
        self.ended.push_back((now, id));
    }

    /// Returns the outcome of an attempt. A queued attempt is cancelled and an unknown one barred, so
    /// that neither can start after it has been reported as not run.
    pub fn resolve(&mut self, id: AttemptId, now: Instant) -> Resolution {
        match self.states.get(&id).copied() {
            Some(AttemptState::Started) => Resolution::Started,
            Some(AttemptState::Done) => Resolution::Done,
            Some(AttemptState::Cancelled) => Resolution::Cancelled,
            Some(AttemptState::Barred) => Resolution::NeverSeen,
            Some(AttemptState::Queued) => {
                self.end(id, now);
                Resolution::Cancelled
            }
            None if self.is_too_old(id) => Resolution::Unknown,
            None => {
                self.states.insert(id, AttemptState::Barred);
                self.ended.push_back((now, id));
                Resolution::NeverSeen
            }
        }
    }

    /// Drops attempts that ended or were barred at least [`RETENTION`] ago.
    pub fn sweep(&mut self, now: Instant) {
        while let Some((ended, id)) = self.ended.front().copied() {
            if now < ended + RETENTION {
                return;
            }
            self.ended.pop_front();
            self.states.remove(&id);
            let dropped = self.dropped.entry(id.ingress).or_default();
            dropped.sequence = dropped.sequence.max(id.sequence);
        }
    }
}
