//! The borrower's side of a rate: what a guard holds of an organisation's tokens.

use std::time::{Duration, Instant};

use crate::policy::bucket::{LEASE_TERM, TOKEN};

/// How long a refusal by every keeper is answered from, at most.
const LONGEST_REFUSAL: Duration = Duration::from_millis(50);

/// How long before its end a loan is closed, so that what is left goes back in time.
const CLOSE_BEFORE: Duration = Duration::from_millis(40);

/// Weight of the newest term in the estimate of demand.
const DEMAND_WEIGHT: f64 = 0.5;

data! {
    /// What is held of one slice, in thousandths of tokens.
    pub struct Loan {
        /// The slice.
        pub slice: u32,
        /// The keeper's VM.
        pub keeper: String,
        /// The sequence of the request.
        pub sequence: u64,
        /// What was lent.
        pub granted: u32,
        /// What was spent.
        pub spent: u32,
        /// When and how much, as far as that is still told apart.
        pub spends: Vec<(u32, Instant)>,
        /// When the term ends, counted from the moment the request was sent.
        pub until: Instant,
    }

    /// What became of a wish to start one request.
    #[derive(Copy)]
    pub enum Take {
        /// It may start before this instant.
        Admitted(Instant),
        /// A keeper must be asked.
        Ask,
        /// No keeper has any; allowance is due at this instant.
        Refused(Instant),
    }
}

/// Spends of one loan that are told apart.
const MOST_SPENDS: usize = 8;

/// Adds a spend; when there are too many, the two oldest count as spent at the later time.
fn note_spend(spends: &mut Vec<(u32, Instant)>, amount: u32, now: Instant) {
    spends.push((amount, now));
    if spends.len() > MOST_SPENDS {
        let (oldest, _) = spends.remove(0);
        spends[0].0 += oldest;
    }
}

/// What a guard holds of one organisation.
#[derive(Debug)]
pub struct Account {
    loans: Vec<Loan>,
    closed: Vec<Loan>,
    refused: Option<Instant>,
    wishes: u32,
    window: Instant,
    demand: f64,
    slices: Vec<Slice>,
}

/// What a keeper last said was left in its slice.
#[derive(Debug, Clone, Copy)]
struct Slice {
    left: u32,
    at: Instant,
}

impl Account {
    /// Creates an account that holds nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            loans: Vec::new(),
            closed: Vec::new(),
            refused: None,
            wishes: 0,
            window: now,
            demand: 0.0,
            slices: Vec::new(),
        }
    }

    /// Asks to start one request now.
    pub fn take(&mut self, now: Instant) -> Take {
        self.close(now);
        if self.held() >= TOKEN {
            self.wishes += 1;
            return Take::Admitted(self.spend(now));
        }
        match self.refused {
            Some(due) if now < due => Take::Refused(due),
            _ => Take::Ask,
        }
    }

    /// Returns what is held, in thousandths of tokens.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.loans.iter().map(|l| l.granted - l.spent).sum()
    }

    /// Spends one token, of several loans if need be, and returns when the first of them ends.
    fn spend(&mut self, now: Instant) -> Instant {
        let mut left = TOKEN;
        let mut until = None;
        for loan in &mut self.loans {
            let part = left.min(loan.granted - loan.spent);
            if part > 0 {
                loan.spent += part;
                note_spend(&mut loan.spends, part, now);
                left -= part;
                until = Some(until.map_or(loan.until, |u: Instant| u.min(loan.until)));
            }
        }
        let spent = |l: &mut Loan| l.spent == l.granted;
        self.closed.extend(self.loans.extract_if(.., spent));
        until.unwrap_or(self.window)
    }

    /// Returns when allowance is due, if every keeper refused a moment ago and nothing is held.
    pub fn peek(&mut self, now: Instant) -> Option<Instant> {
        self.close(now);
        let held = self.held() >= TOKEN;
        self.refused.filter(|due| now < *due && !held)
    }

    /// Returns what to ask for, in thousandths: the demand of one term, or what waits.
    pub fn wanted(&mut self, waiting: u32, now: Instant) -> u32 {
        if now >= self.window + LEASE_TERM {
            let passed = now - self.window;
            let terms = (passed.as_secs_f64() / LEASE_TERM.as_secs_f64()).max(1.0);
            let newest = f64::from(self.wishes) / terms;
            self.demand += DEMAND_WEIGHT * (newest - self.demand);
            self.wishes = 0;
            self.window = now;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand = self.demand.round() as u32;
        let tokens = demand.max(waiting).max(1);
        tokens.saturating_mul(TOKEN).saturating_sub(self.held())
    }

    /// Takes up what is left in a slice.
    pub fn note(&mut self, slice: u32, left: u32, now: Instant) {
        let place = slice as usize;
        if self.slices.len() <= place {
            let unknown = Slice {
                left: u32::MAX,
                at: now,
            };
            self.slices.resize(place + 1, unknown);
        }
        self.slices[place] = Slice { left, at: now };
    }

    /// Estimates what is left in a slice as a share of its burst.
    ///
    /// Asking the fullest slice first keeps all of them from standing full, where what comes in is
    /// lost, while another one is empty.
    #[must_use]
    pub fn fullness(&self, slice: u32, rate: f64, burst: u32, now: Instant) -> f64 {
        let Some(known) = self.slices.get(slice as usize) else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(known.at).as_secs_f64();
        let level = f64::from(known.left) / f64::from(TOKEN) + rate * passed;
        (level / f64::from(burst.max(1))).min(1.0)
    }

    /// Works out when what is held, what the slices have left and what comes in make a token.
    #[must_use]
    pub fn due(&self, rate: f64) -> Duration {
        let left = self
            .slices
            .iter()
            .filter(|s| s.left < TOKEN)
            .map(|s| s.left);
        let there = left.fold(self.held(), u32::saturating_add);
        let missing = f64::from(TOKEN.saturating_sub(there)) / f64::from(TOKEN);
        Duration::from_secs_f64(missing / rate)
    }

    /// Takes up a loan.
    pub fn receive(&mut self, loan: Loan) {
        self.refused = None;
        self.loans.push(loan);
    }

    /// Takes up that every keeper refused; the parts of a token that are held go back.
    ///
    /// `asked` is when the first keeper was asked, so that what comes in while the answers are under
    /// way counts.
    pub fn refuse(&mut self, due: Duration, asked: Instant) {
        self.refused = Some(asked + due.min(LONGEST_REFUSAL));
        self.closed.append(&mut self.loans);
    }

    /// Closes loans that end soon; what is left of them goes back with the settlement.
    pub fn close(&mut self, now: Instant) {
        let ends = |l: &mut Loan| now + CLOSE_BEFORE >= l.until;
        self.closed.extend(self.loans.extract_if(.., ends));
    }

    /// Takes out the closed loans of a keeper, to be settled with it.
    pub fn settle(&mut self, keeper: &str, slice: u32) -> Vec<Loan> {
        let goes = |l: &mut Loan| l.keeper == keeper && l.slice == slice;
        self.closed.extract_if(.., goes).collect()
    }

    /// Returns a keeper and slice that closed loans await settlement with.
    #[must_use]
    pub fn unsettled(&self) -> Option<(String, u32)> {
        self.closed.first().map(|l| (l.keeper.clone(), l.slice))
    }

    /// Tells whether nothing is held or to be settled.
    #[must_use]
    pub fn idle(&self, now: Instant) -> bool {
        self.loans.is_empty() && self.closed.is_empty() && now >= self.window + 10 * LEASE_TERM
    }
}
