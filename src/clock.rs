//! Sources of time, passed in so that tests need not wait for time to pass.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use rustix::time::{ClockId, clock_gettime};

/// A source of time. Policies take [`Instant`]s as arguments; only the I/O layer reads a clock.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, for logs and incarnations.
    fn wall(&self) -> SystemTime;
}

/// Returns the microseconds since the Unix epoch, by which incarnations are numbered.
#[must_use]
pub fn unix_micros(wall: SystemTime) -> u64 {
    let since_epoch = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the milliseconds since the Unix epoch, as targets state their starts.
#[must_use]
pub fn unix_millis(wall: SystemTime) -> u64 {
    unix_micros(wall) / 1_000
}

/// Returns a duration in whole milliseconds, for headers and logs.
#[must_use]
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A clock that tasks share.
pub type SharedClock = Arc<dyn Clock>;

/// The system's clock, which keeps running while the machine is suspended.
///
/// [`Instant::now`] stops during a suspension, so a lease or a freshness record would appear not to
/// have aged. The runtime's timers stop too, so a task that waits until an instant has to sleep for the
/// time that remains by this clock.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: Instant,
    boot_origin: Duration,
}

impl SystemClock {
    /// Creates a clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            boot_origin: time_since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        self.origin + time_since_boot().saturating_sub(self.boot_origin)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests, which only moves when [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    offset: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that is stopped at the current time.
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
