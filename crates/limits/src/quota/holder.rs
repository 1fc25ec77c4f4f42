//! Admission of client account requests on one node, and reports of what was admitted.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use sycamorelink_core::InstanceId;

use super::{AccountId, QuotaSettings, QuotaTerms, ShareUpdate, UsageReport};

/// Number of requests of an account that triggers a report without waiting for the report interval.
///
/// Most nodes get one request of an account every few seconds, so two in one interval may be the
/// start of a surge.
const IMMEDIATE_REPORT_REQUESTS: u32 = 2;
/// Time for which a share stays in force after its keeper sent it.
///
/// Several times the keeper's resend interval, so that a lost message has no effect, and short
/// enough that an account is not throttled for long after its keeper stops.
const SHARE_TTL: Duration = Duration::from_secs(3);
/// Report interval of an account that is throttled to a share.
///
/// Admission follows the demand immediately, so only a change of the demand waits for the report.
const THROTTLED_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time, in seconds, over which the refused requests of one second are spread, so that they return
/// at the rate of the quota.
const RETRY_SPREAD_SECS: f64 = 1.0;
/// Minimum `retry_after` of a refusal. A change of the share takes about as long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum `retry_after` of a refusal. Callers that must wait longer have mostly left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which an account without requests is forgotten.
const RETENTION: Duration = Duration::from_secs(10);

/// Accounts that send requests to this node.
#[derive(Debug)]
pub struct QuotaHolder {
    settings: QuotaSettings,
    accounts: BTreeMap<AccountId, AccountUsage>,
    random: SmallRng,
}

#[derive(Debug)]
struct AccountUsage {
    asked: u32,
    admitted: i32,
    report_interval: Duration,
    last_report_at: Duration,
    last_used_at: Duration,
    shares: Vec<ReceivedShare>,
    /// Fraction of a request accumulated towards the next admission while a share is in force.
    /// `None` while the account is not throttled.
    credit: Option<f64>,
}

/// Share of an account's requests that one keeper admits while the account exceeds its quota.
#[derive(Debug)]
struct ReceivedShare {
    keeper: InstanceId,
    share: f64,
    expires_at: Duration,
}

impl QuotaHolder {
    /// Creates a holder without accounts.
    #[must_use]
    pub fn new(settings: QuotaSettings, seed: u64) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Decides on a request of an account.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if the request exceeds the quota of the
    /// account.
    pub fn admit(
        &mut self,
        now: Duration,
        account: AccountId,
        terms: QuotaTerms,
    ) -> Result<(), Duration> {
        let usage = self.accounts.entry(account);
        let usage = usage.or_insert_with(|| AccountUsage::new(now));
        usage.report_interval = self.settings.report_interval(terms);
        usage.last_used_at = now;
        usage.asked = usage.asked.saturating_add(1);
        usage.shares.retain(|share| now < share.expires_at);
        usage.admit_by_share()?;
        usage.admitted = usage.admitted.saturating_add(1);
        Ok(())
    }

    /// Reverts an admission whose request was refused later without running.
    pub fn refund(&mut self, account: AccountId) {
        let Some(usage) = self.accounts.get_mut(&account) else {
            return;
        };
        usage.admitted = usage.admitted.saturating_sub(1);
        usage.credit = usage.credit.map(|credit| (credit + 1.0).min(1.0));
    }

    /// Returns the reports that are due.
    pub fn reports(&mut self, now: Duration) -> Vec<UsageReport> {
        self.accounts
            .retain(|_, usage| now < usage.last_used_at + RETENTION || usage.is_unreported());
        let usages = self.accounts.iter_mut();
        usages
            .filter(|(_, usage)| usage.is_due(now))
            .map(|(account, usage)| usage.report(now, *account))
            .collect()
    }

    /// Applies the share that a keeper of an account has sent.
    pub fn told(&mut self, now: Duration, keeper: InstanceId, update: ShareUpdate) {
        if let Some(usage) = self.accounts.get_mut(&update.account) {
            usage
                .shares
                .retain(|share| share.keeper.node != keeper.node);
        }
        let share = update.share.filter(|share| (0.0..=1.0).contains(share));
        let Some(share) = share else {
            return;
        };
        let usage = self.accounts.entry(update.account);
        let usage = usage.or_insert_with(|| AccountUsage::new(now));
        usage.last_used_at = now;
        // A random start value spreads the first admissions. With zero on every node, a hundred
        // nodes would all admit their first request after the same number of requests.
        usage.credit.get_or_insert_with(|| self.random.random());
        usage.shares.push(ReceivedShare {
            keeper,
            share,
            expires_at: now + SHARE_TTL,
        });
    }
}

impl AccountUsage {
    fn new(now: Duration) -> Self {
        Self {
            asked: 0,
            admitted: 0,
            report_interval: Duration::ZERO,
            last_report_at: now,
            last_used_at: now,
            shares: Vec::new(),
            credit: None,
        }
    }

    fn is_unreported(&self) -> bool {
        self.asked > 0 || self.admitted != 0
    }

    fn is_due(&self, now: Duration) -> bool {
        if !self.is_unreported() {
            return false;
        }
        let report_interval = if self.credit.is_some() {
            self.report_interval.max(THROTTLED_REPORT_INTERVAL)
        } else if self.asked >= IMMEDIATE_REPORT_REQUESTS {
            Duration::ZERO
        } else {
            self.report_interval
        };
        now >= self.last_report_at + report_interval
    }

    fn report(&mut self, now: Duration, account: AccountId) -> UsageReport {
        self.last_report_at = now;
        UsageReport {
            account,
            asked: std::mem::take(&mut self.asked),
            admitted: std::mem::take(&mut self.admitted),
        }
    }

    /// Admits a request according to the smallest share that any keeper has sent.
    fn admit_by_share(&mut self) -> Result<(), Duration> {
        let shares = self.shares.iter().map(|received| received.share);
        let Some(share) = shares.min_by(f64::total_cmp) else {
            self.credit = None;
            return Ok(());
        };
        let credit = self.credit.get_or_insert(0.0);
        *credit += share;
        if *credit >= 1.0 {
            *credit -= 1.0;
            return Ok(());
        }
        let retry_after =
            Duration::try_from_secs_f64(RETRY_SPREAD_SECS / share - RETRY_SPREAD_SECS);
        let retry_after = retry_after.unwrap_or(MAX_RETRY_AFTER);
        Err(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}
