//! Ring of time buckets with bounded memory.

use std::collections::VecDeque;
use std::time::Duration;

use super::{BurnCounts, BurnOutcome};

/// Requests of one bucket.
///
/// 32 bits are enough for a count: a node does not serve four billion requests of one customer in
/// five minutes. Additions saturate.
#[derive(Clone, Copy, Debug, Default)]
struct RingBucket {
    number: u32,
    counts: [u32; 6],
}

impl RingBucket {
    fn add_to(&self, sum: &mut BurnCounts) {
        for (outcome, count) in BurnOutcome::ALL.into_iter().zip(self.counts) {
            sum.add(outcome, u64::from(count));
        }
    }
}

/// Buckets of equal width over a limited span. Buckets without requests take no memory.
#[derive(Clone, Debug)]
pub(super) struct BucketRing {
    width: Duration,
    length: u32,
    buckets: VecDeque<RingBucket>,
}

impl BucketRing {
    /// Creates an empty ring of `length` buckets of `width` each.
    pub fn new(width: Duration, length: u32) -> Self {
        Self {
            width,
            length,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request at `at`. One before the newest bucket counts in the newest bucket.
    pub fn record(&mut self, at: Duration, outcome: BurnOutcome) {
        let number = self.bucket_at(at);
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.push_bucket(number);
        }
        if let Some(bucket) = self.buckets.back_mut() {
            let count = &mut bucket.counts[outcome as usize];
            *count = count.saturating_add(1);
        }
    }

    /// Returns the requests in the window that ends at `at`, rounded to whole buckets.
    pub fn sum(&self, at: Duration, window: Duration) -> BurnCounts {
        let first = self.first_bucket(at, window);
        let mut sum = BurnCounts::default();
        for bucket in self.buckets.iter().rev() {
            if bucket.number < first {
                break;
            }
            bucket.add_to(&mut sum);
        }
        sum
    }

    /// Returns the requests in the window that ends at `at` by steps of `step`, each with the start
    /// of the step in seconds since the Unix epoch.
    pub fn points(&self, at: Duration, window: Duration, step: Duration) -> Vec<(u64, BurnCounts)> {
        let first = self.first_bucket(at, window);
        let mut points: Vec<(u64, BurnCounts)> = Vec::new();
        for bucket in self.buckets.iter().filter(|bucket| bucket.number >= first) {
            let start = u64::from(bucket.number) * self.width.as_secs();
            let start = start - start % step.as_secs().max(1);
            match points.last_mut() {
                Some((time, counts)) if *time == start => bucket.add_to(counts),
                _ => {
                    let mut counts = BurnCounts::default();
                    bucket.add_to(&mut counts);
                    points.push((start, counts));
                }
            }
        }
        points
    }

    /// Returns whether every bucket is older than the span of the ring.
    pub fn is_stale(&self, at: Duration) -> bool {
        let oldest = self.bucket_at(at).saturating_sub(self.length);
        self.buckets.back().is_none_or(|last| last.number <= oldest)
    }

    fn push_bucket(&mut self, number: u32) {
        let oldest = number.saturating_sub(self.length - 1);
        while self
            .buckets
            .front()
            .is_some_and(|front| front.number < oldest)
        {
            self.buckets.pop_front();
        }
        let counts = [0; 6];
        self.buckets.push_back(RingBucket { number, counts });
    }

    fn first_bucket(&self, at: Duration, window: Duration) -> u32 {
        let span = window.as_secs() / self.width.as_secs().max(1);
        let span = u32::try_from(span)
            .unwrap_or(u32::MAX)
            .clamp(1, self.length);
        self.bucket_at(at).saturating_sub(span - 1)
    }

    fn bucket_at(&self, at: Duration) -> u32 {
        let number = at.as_secs() / self.width.as_secs().max(1);
        u32::try_from(number).unwrap_or(u32::MAX)
    }
}
