//! Token buckets of the accounts that this node keeps, and the share of requests to admit when a
//! bucket runs low.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AccountId, QuotaSettings, QuotaTerms, ShareUpdate, UsageReport};

/// Time, in seconds, in which the rest of a bucket may be spent and a deficit is paid back.
///
/// Spans several reports, so that a wrong share is corrected within this time.
const SPEND_SECS: f64 = 1.0;
/// Time constant, in seconds, of the demand average of an account. Spans several reports of each
/// holder.
const DEMAND_TIME_CONSTANT: f64 = 0.7;
/// Minimum time, in seconds, over which the demand of a new account is averaged, because two
/// simultaneous requests are no demand yet.
const MIN_OBSERVED_SECS: f64 = 0.35;
/// Ratio of demand to spendable rate below which throttling ends. Below 1, so that an account at
/// its quota is not throttled and released in alternation.
const RELEASE_RATIO: f64 = 0.9;
/// Relative change of the share that is sent without waiting for the resend interval.
const SIGNIFICANT_CHANGE: f64 = 0.15;
/// Minimum interval between two updates of an account, because each update goes to all nodes.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval between two updates while an account is throttled. Nodes that have just started
/// receive the share by then.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an account without reports is forgotten. Bursts are a few seconds of the rate
/// at most, so the bucket is full by then.
const RETENTION: Duration = Duration::from_secs(30);

/// Accounts that this node keeps.
#[derive(Debug)]
pub struct QuotaKeeper {
    settings: QuotaSettings,
    accounts: BTreeMap<AccountId, AccountBucket>,
}

#[derive(Debug)]
struct AccountBucket {
    terms: QuotaTerms,
    /// Remaining tokens; negative after holders have admitted more than the bucket held.
    tokens: f64,
    /// Requests of all holders, decaying exponentially with [`DEMAND_TIME_CONSTANT`].
    asked: f64,
    observed_since: Duration,
    updated_at: Duration,
    /// Share that was last sent, and the time. `None` while the account is not throttled.
    last_sent: Option<(f64, Duration)>,
}

/// Change of an account's throttling that all nodes must receive.
#[derive(Clone, Copy, Debug)]
enum ThrottleChange {
    /// The account is within its quota again.
    Lifted,
    /// Nodes admit this share of the account's requests.
    Limited(f64),
}

impl ThrottleChange {
    const fn share(self) -> Option<f64> {
        match self {
            Self::Lifted => None,
            Self::Limited(share) => Some(share),
        }
    }
}

impl QuotaKeeper {
    /// Creates a keeper without accounts.
    #[must_use]
    pub const fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
        }
    }

    /// Applies a report from a holder. `terms` is the quota of the account.
    pub fn on_report(&mut self, now: Duration, report: UsageReport, terms: QuotaTerms) {
        let extra_burst = self.settings.extra_burst(terms);
        let terms = QuotaTerms {
            burst: terms.burst + extra_burst,
            ..terms
        };
        let bucket = self.accounts.entry(report.account);
        let bucket = bucket.or_insert_with(|| AccountBucket::new(now, terms, extra_burst));
        bucket.terms = terms;
        bucket.advance(now);
        bucket.tokens -= f64::from(report.admitted);
        bucket.asked += f64::from(report.asked);
    }

    /// Returns the updates to send to all nodes now. Call this about every 100 ms.
    pub fn news(&mut self, now: Duration) -> Vec<ShareUpdate> {
        self.accounts
            .retain(|_, bucket| bucket.last_sent.is_some() || now < bucket.updated_at + RETENTION);
        let accounts = self.accounts.iter_mut();
        let updates = accounts.filter_map(|(account, bucket)| {
            let share = bucket.next_change(now)?.share();
            Some(ShareUpdate {
                account: *account,
                share,
            })
        });
        updates.collect()
    }
}

impl AccountBucket {
    /// Creates a bucket that holds only the tokens allowed beyond the quota.
    ///
    /// A new keeper does not know what was admitted recently. With a full bucket, an account that
    /// keeps sending many times its quota would exceed its limit after all nodes lose power. An
    /// account within its rate needs no more than this.
    fn new(now: Duration, terms: QuotaTerms, extra_burst: f64) -> Self {
        Self {
            terms,
            tokens: extra_burst,
            asked: 0.0,
            observed_since: now,
            updated_at: now,
            last_sent: None,
        }
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.terms.rate).min(self.terms.burst);
        self.asked *= (-elapsed / DEMAND_TIME_CONSTANT).exp();
        self.updated_at = now;
    }

    fn next_change(&mut self, now: Duration) -> Option<ThrottleChange> {
        if self.last_sent.is_none() && self.asked < 1.0 {
            return None;
        }
        self.advance(now);
        let spendable = (self.terms.rate + self.tokens / SPEND_SECS).max(0.0);
        let demand = self.demand(now);
        let Some((last_share, sent_at)) = self.last_sent else {
            if demand <= spendable {
                return None;
            }
            return Some(self.set_share(now, spendable / demand));
        };
        if demand < spendable * RELEASE_RATIO {
            self.last_sent = None;
            return Some(ThrottleChange::Lifted);
        }
        let share = (spendable / demand).min(1.0);
        let is_significant =
            (share - last_share).abs() > SIGNIFICANT_CHANGE * last_share.max(share);
        let is_due = is_significant && now >= sent_at + MIN_UPDATE_INTERVAL
            || now >= sent_at + MAX_UPDATE_INTERVAL;
        is_due.then(|| self.set_share(now, share))
    }

    /// Returns the demand in requests per second.
    ///
    /// Averages over the time since the first report while that is short, so that a new keeper of
    /// an account that sends many times its quota does not need a second to notice.
    fn demand(&self, now: Duration) -> f64 {
        let observed = now.saturating_sub(self.observed_since).as_secs_f64();
        let observed = observed.max(MIN_OBSERVED_SECS);
        self.asked / DEMAND_TIME_CONSTANT / (1.0 - (-observed / DEMAND_TIME_CONSTANT).exp())
    }

    fn set_share(&mut self, now: Duration, share: f64) -> ThrottleChange {
        self.last_sent = Some((share, now));
        ThrottleChange::Limited(share)
    }
}
