//! Limit of the bytes of the requests that run at one target, learned from what it has borne.
//!
//! Load pattern: many large requests reach one target at once, which fails when they exceed its memory.

/// Limit of a target that has not been seen under load.
const INITIAL_LIMIT: usize = 4 << 20;

/// Lowest limit after failures.
const MIN_LIMIT: usize = 256 << 10;

/// Divisor of the limit by which it grows after a good exchange that reached most of it.
const GROWTH: usize = 8;

/// The bytes of requests that run at a target, and their limit.
#[derive(Debug, Clone, Copy)]
pub struct LoadBytes {
    limit: usize,
    running: usize,
    /// Most bytes that ran at once when a good response was completed.
    borne: usize,
}

impl Default for LoadBytes {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            running: 0,
            borne: 0,
        }
    }
}

impl LoadBytes {
    /// Returns the limit.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes of the requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Counts a request as running, and returns whether the limit allows it. A request alone always may start.
    #[must_use]
    pub fn try_start(&mut self, bytes: usize) -> bool {
        let allowed = bytes == 0 || self.running == 0 || self.running + bytes <= self.limit;
        if allowed {
            self.running += bytes;
        }
        allowed
    }

    /// Records the end of a request. `borne` states whether the target returned a complete response; `None` if the
    /// exchange shows nothing about the target.
    pub fn end(&mut self, bytes: usize, borne: Option<bool>) {
        let peak = self.running;
        self.running = peak.saturating_sub(bytes);
        // Small requests prove nothing about the bytes that a target can hold.
        if bytes == 0 {
            return;
        }
        match borne {
            Some(true) => {
                self.borne = self.borne.max(peak);
                if peak >= self.limit / 4 * 3 {
                    self.limit += self.limit / GROWTH;
                }
            }
            // What the target has borne before didn't make it fail now.
            Some(false) if peak > self.borne => {
                self.limit = (peak / 2).max(self.borne).max(MIN_LIMIT);
            }
            _ => {}
        }
    }
}
