//! The clock, passed in so that every decision can run in a test without waiting.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use rustix::time::{ClockId, clock_gettime};

/// A source of time. Decisions take [`Instant`]s; only the I/O layer asks a clock.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the time of day, for logs and incarnations.
    fn wall(&self) -> SystemTime;
}

/// Returns a time of day in microseconds, by which incarnations are named.
#[must_use]
pub fn micros_of(wall: SystemTime) -> u64 {
    let since = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// A clock that many tasks hold.
pub type SharedClock = Arc<dyn Clock>;

/// The machine's own clock, which goes on while the machine is suspended.
///
/// [`Instant::now`] stands still then, so that a lease or a word that was fresh would look as if it
/// had not aged. Timers of the runtime stand still too: what waits until an instant waits for the
/// time that is left until then by this clock.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: Instant,
    booted: Duration,
}

impl SystemClock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            booted: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that only moves when told to, for tests of decisions.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    offset: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at the present.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            offset: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.offset.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + *self.offset.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + *self.offset.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
