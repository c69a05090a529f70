//! The guard's ledger of attempts, from which it answers what became of each.
//!
//! Only "never seen, now barred" and "cancelled" prove that an attempt has not run and never will;
//! see [docs/DESIGN.md](../../docs/DESIGN.md#at-most-once).

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

/// How long an ended attempt is remembered.
pub const RETENTION: Duration = Duration::from_secs(900);

value! {
    /// Names one attempt at one request.
    pub struct AttemptId {
        /// The incarnation of the entry node.
        pub ingress: u64,
        /// The request's sequence there.
        pub sequence: u64,
        /// Which attempt at the request it is, from 1.
        pub number: u32,
    }

    /// How far an attempt has come.
    pub enum AttemptState {
        /// It waits for a slot or for allowance.
        Queued,
        /// Its first byte may have reached the target.
        Started,
        /// Its exchange with the target has ended.
        Done,
        /// It was refused or cancelled before it started.
        Cancelled,
        /// It was asked about before it arrived, and may not start any more.
        Barred,
    }

    /// What became of an attempt.
    pub enum Resolution {
        /// It never arrived, and is refused if it does.
        NeverSeen,
        /// It was refused or cancelled before it started.
        Cancelled,
        /// It has started, and may have run.
        Started,
        /// It has ended, and may have run.
        Done,
        /// The ledger no longer knows.
        Forgotten,
    }

    /// Why an attempt may not begin.
    pub enum Refusal {
        /// It was barred; it has not run.
        Barred,
        /// It is known already; another copy may have run.
        Repeated,
        /// It is older than what the ledger remembers.
        TooOld,
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ingress: entry,
            sequence,
            number,
        } = self;
        write!(f, "{entry}.{sequence}.{number}")
    }
}

/// Attempts of one entry incarnation that were dropped from the ledger.
#[derive(Debug, Default, Clone, Copy)]
struct Dropped {
    sequence: u64,
}

/// All attempts that a guard knows.
#[derive(Debug, Default)]
pub struct Ledger {
    states: HashMap<AttemptId, AttemptState>,
    ended: VecDeque<(Instant, AttemptId)>,
    dropped: HashMap<u64, Dropped>,
}

impl Ledger {
    /// Returns how many attempts are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether no attempt is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn too_old(&self, id: AttemptId) -> bool {
        self.dropped
            .get(&id.ingress)
            .is_some_and(|d| id.sequence <= d.sequence)
    }

    /// Takes an attempt in.
    ///
    /// # Errors
    /// [`Refusal`] when it may not run.
    pub fn register(&mut self, id: AttemptId) -> Result<(), Refusal> {
        match self.states.get(&id) {
            Some(AttemptState::Barred) => Err(Refusal::Barred),
            Some(_) => Err(Refusal::Repeated),
            None if self.too_old(id) => Err(Refusal::TooOld),
            None => {
                self.states.insert(id, AttemptState::Queued);
                Ok(())
            }
        }
    }

    /// Marks an attempt as started, unless it was cancelled meanwhile.
    ///
    /// The first byte may be sent only when this returns true.
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

    /// Ends an attempt: one that had not started counts as cancelled.
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

    /// Settles what became of an attempt; one that waits is cancelled, an unknown one is barred.
    pub fn resolve(&mut self, id: AttemptId, now: Instant) -> Resolution {
        let known = self.states.get(&id).copied();
        match known {
            Some(AttemptState::Started) => Resolution::Started,
            Some(AttemptState::Done) => Resolution::Done,
            Some(AttemptState::Cancelled) => Resolution::Cancelled,
            Some(AttemptState::Barred) => Resolution::NeverSeen,
            Some(AttemptState::Queued) => {
                self.end(id, now);
                Resolution::Cancelled
            }
            None if self.too_old(id) => Resolution::Forgotten,
            None => {
                self.states.insert(id, AttemptState::Barred);
                self.ended.push_back((now, id));
                Resolution::NeverSeen
            }
        }
    }

    /// Drops what ended longer than [`REMEMBER_FOR`] ago.
    pub fn sweep(&mut self, now: Instant) {
        while let Some((at, id)) = self.ended.front().copied() {
            if now < at + RETENTION {
                return;
            }
            self.ended.pop_front();
            self.states.remove(&id);
            let dropped = self.dropped.entry(id.ingress).or_default();
            dropped.sequence = dropped.sequence.max(id.sequence);
        }
    }
}
