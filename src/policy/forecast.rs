//! Forecast of how long a request waits for a slot of a target, from the time that requests occupy one.
//!
//! Load pattern: more requests arrive than a target can run, so that a request which joins a long queue would only
//! expire there. It is refused at once instead, see
//! [docs/DESIGN.md](../../docs/DESIGN.md#worst-load).

use std::time::Duration;

/// Weight of one request in the moving average.
const WEIGHT: f64 = 0.1;

/// The time that requests occupy a slot of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotTime {
    /// Moving average in seconds; `None` until a request has ended.
    average: Option<f64>,
}

impl SlotTime {
    /// Records for how long a request occupied a slot.
    pub fn record(&mut self, occupied: Duration) {
        let seconds = occupied.as_secs_f64();
        let average = self.average.get_or_insert(seconds);
        *average += WEIGHT * (seconds - *average);
    }

    /// Returns the usual time; zero while no request has ended.
    #[must_use]
    pub fn average(&self) -> Duration {
        Duration::from_secs_f64(self.average.unwrap_or(0.0))
    }

    /// Returns when a request starts, from now, that `ahead` waiting requests precede at a target of which `running`
    /// of `slots` slots are occupied. Returns zero while no request has ended.
    #[must_use]
    pub fn wait(&self, ahead: usize, running: usize, slots: usize) -> Duration {
        let free = slots.saturating_sub(running);
        // A slot becomes free after this many others of those that are occupied now or by requests ahead.
        let Some(releases) = (ahead + 1).checked_sub(free) else {
            return Duration::ZERO;
        };
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let rounds = releases as f64 / slots.max(1) as f64;
        Duration::from_secs_f64(rounds * self.average.unwrap_or(0.0))
    }
}
