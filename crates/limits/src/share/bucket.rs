//! Token bucket with integer arithmetic.

use std::time::Duration;

/// Units per token. A rate in thousandths of a request per second times a time in microseconds
/// gives exactly this unit.
pub const TOKEN: u64 = 1_000_000_000;

/// Token bucket whose rate may change at any time.
#[derive(Debug, Clone, Default)]
pub struct TokenBucket {
    level: u64,
    rate: u64,
    filled_at: Duration,
    full: bool,
}

impl TokenBucket {
    /// Creates an empty bucket that accrues from `since` on.
    #[must_use]
    pub fn new(since: Duration, rate: u64) -> Self {
        Self {
            level: 0,
            rate,
            filled_at: since,
            full: false,
        }
    }

    /// Adds the tokens accrued since the last call.
    ///
    /// The cap is `burst` at the present rate, and at least one token.
    pub fn fill(&mut self, now: Duration, burst: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now.max(self.filled_at);
        let accrued = accrual(self.rate, elapsed);
        let cap = accrual(self.rate, burst).max(TOKEN);
        let filled = self.level.saturating_add(accrued).min(cap);
        self.level = self.level.max(filled);
        self.full = self.level >= cap;
    }

    /// Changes the rate from now on. Drops tokens above the new burst, because they accrued for a
    /// right that another node now has.
    pub fn set_rate(&mut self, rate: u64, burst: Duration) {
        if rate < self.rate {
            self.level = self.level.min(accrual(rate, burst).max(TOKEN));
        }
        self.rate = rate;
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn rate(&self) -> u64 {
        self.rate
    }

    /// Returns whether the last fill reached the cap.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.full
    }

    /// Takes one token. Returns false if no whole token is left.
    pub fn take(&mut self) -> bool {
        let left = self.level.checked_sub(TOKEN);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }

    /// Takes at most `count` whole tokens and returns their number.
    pub fn take_up_to(&mut self, count: u32) -> u32 {
        let whole = u32::try_from(self.level / TOKEN).unwrap_or(u32::MAX);
        let taken = whole.min(count);
        self.level -= u64::from(taken) * TOKEN;
        taken
    }

    /// Adds whole tokens that a keeper has accrued.
    pub fn give(&mut self, count: u32) {
        self.level = self.level.saturating_add(u64::from(count) * TOKEN);
    }

    /// Removes all tokens.
    pub fn empty(&mut self) {
        self.level = 0;
    }

    /// Returns the time until one whole token is available, or `None` if it never will be at a rate
    /// of zero.
    #[must_use]
    pub fn next_token(&self) -> Option<Duration> {
        let missing = TOKEN.saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        (self.rate > 0).then(|| Duration::from_micros(missing.div_ceil(self.rate)))
    }
}

fn accrual(rate: u64, elapsed: Duration) -> u64 {
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    rate.saturating_mul(micros)
}
