//! What one node admits of each account, and what it tells of that.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use sycamorelink_core::InstanceId;

use super::{AccountId, QuotaSettings, QuotaTerms, ShareNews, UseReport};

/// Requests of an account from which its report does not wait for the pause: most nodes see one of an
/// account in some seconds, so that two at once may be the start of many.
const PROMPT_REQUESTS: u32 = 2;
/// How long a share holds after its keeper told it: some times as long as the keeper takes to tell it
/// again, so that a lost word costs nothing, and a keeper that ends holds nobody back for long.
const SHARE_TIME: Duration = Duration::from_secs(3);
/// Pause between two reports of an account of which only a share is admitted: what is admitted follows
/// the demand at once, and only a change of the demand waits for the report.
const SHARED_PAUSE: Duration = Duration::from_millis(300);
/// Time in which the requests of one second come back at the pace of the quota, if all of them do.
const RETURN_TIME: f64 = 1.0;
/// Shortest time that a refused caller is told to wait: a change of the share takes about that long.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Longest: callers that wait for longer have mostly left.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// How long an account without requests is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The accounts that call at this node.
#[derive(Debug)]
pub struct QuotaHolder {
    settings: QuotaSettings,
    accounts: BTreeMap<AccountId, HeldAccount>,
    random: SmallRng,
}

#[derive(Debug)]
struct HeldAccount {
    asked: u32,
    admitted: i32,
    pause: Duration,
    reported: Duration,
    used: Duration,
    shares: Vec<HeldShare>,
    /// What is saved up for the next admission while only a share is admitted.
    credit: Option<f64>,
}

/// The share of an account's requests that a keeper lets in while the account asks for more than its quota.
#[derive(Debug)]
struct HeldShare {
    keeper: InstanceId,
    share: f64,
    until: Duration,
}

impl QuotaHolder {
    /// A holder whom nobody has called.
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
    /// When it is beyond the account's quota: how long its caller should wait.
    pub fn admit(
        &mut self,
        now: Duration,
        account: AccountId,
        terms: QuotaTerms,
    ) -> Result<(), Duration> {
        let held = self.accounts.entry(account);
        let held = held.or_insert_with(|| HeldAccount::new(now));
        held.pause = self.settings.report_pause(terms);
        held.used = now;
        held.asked = held.asked.saturating_add(1);
        held.shares.retain(|share| now < share.until);
        held.take_share()?;
        held.admitted = held.admitted.saturating_add(1);
        Ok(())
    }

    /// Takes back a request that was admitted and then refused unrun.
    pub fn give_back(&mut self, account: AccountId) {
        let Some(held) = self.accounts.get_mut(&account) else {
            return;
        };
        held.admitted = held.admitted.saturating_sub(1);
        held.credit = held.credit.map(|credit| (credit + 1.0).min(1.0));
    }

    /// The reports that are due.
    pub fn reports(&mut self, now: Duration) -> Vec<UseReport> {
        self.accounts
            .retain(|_, held| now < held.used + FORGET_AFTER || held.is_unreported());
        let held = self.accounts.iter_mut();
        held.filter(|(_, held)| held.is_due(now))
            .map(|(account, held)| held.report(now, *account))
            .collect()
    }

    /// Takes what a keeper of an account tells.
    pub fn told(&mut self, now: Duration, keeper: InstanceId, news: ShareNews) {
        if let Some(held) = self.accounts.get_mut(&news.account) {
            held.shares.retain(|share| share.keeper.node != keeper.node);
        }
        let share = news.share.filter(|share| (0.0..=1.0).contains(share));
        let Some(share) = share else {
            return;
        };
        let held = self.accounts.entry(news.account);
        let held = held.or_insert_with(|| HeldAccount::new(now));
        held.used = now;
        // Nodes that all began with nothing saved up would all admit their first request after the same
        // number of them, a hundred at once.
        held.credit.get_or_insert_with(|| self.random.random());
        held.shares.push(HeldShare {
            keeper,
            share,
            until: now + SHARE_TIME,
        });
    }
}

impl HeldAccount {
    fn new(now: Duration) -> Self {
        Self {
            asked: 0,
            admitted: 0,
            pause: Duration::ZERO,
            reported: now,
            used: now,
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
        let pause = if self.credit.is_some() {
            self.pause.max(SHARED_PAUSE)
        } else if self.asked >= PROMPT_REQUESTS {
            Duration::ZERO
        } else {
            self.pause
        };
        now >= self.reported + pause
    }

    fn report(&mut self, now: Duration, account: AccountId) -> UseReport {
        self.reported = now;
        UseReport {
            account,
            asked: std::mem::take(&mut self.asked),
            admitted: std::mem::take(&mut self.admitted),
        }
    }

    /// Admits a request if the least share that a keeper told lets it in.
    fn take_share(&mut self) -> Result<(), Duration> {
        let shares = self.shares.iter().map(|held| held.share);
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
        let wait = Duration::try_from_secs_f64(RETURN_TIME / share - RETURN_TIME);
        let wait = wait.unwrap_or(LONGEST_WAIT);
        Err(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT))
    }
}
