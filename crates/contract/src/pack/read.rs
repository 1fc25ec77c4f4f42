//! Decoder of the compact form.

use std::sync::Arc;
use std::time::Duration;

use sycamorelink_core::{CustomerName, ServiceName};

use super::COUNT_BYTES;
use crate::contract::CustomerContract;
use crate::digest::{ContentDigest, DIGEST_BYTES};
use crate::terms::{
    ClientAccount, DEFAULT_DEADLINE, DEFAULT_FLOOR, DEFAULT_FLOOR_COUNT, DEFAULT_MAX_BODY,
    DEFAULT_PRIORITY, DEFAULT_REPLY_BUFFER, DetectionLeaning, HedgeBudget, KeyTerms, OpaqueKeys,
    RateLimit, RepeatClass, RetryBudget, RouteMethod, RouteTerms, ServiceObjective, ServiceTerms,
};

/// Decodes the output of [`PackWriter`](super::write::PackWriter), in the same order.
pub(super) struct PackReader<'a> {
    pub(super) rest: &'a [u8],
}

impl PackReader<'_> {
    fn take(&mut self, length: usize) -> Option<&[u8]> {
        let (taken, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1)?.first().copied()
    }

    fn varint(&mut self) -> Option<u64> {
        let mut value = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }

    fn varint_u32(&mut self) -> Option<u32> {
        self.varint()?.try_into().ok()
    }

    fn length(&mut self) -> Option<usize> {
        self.varint()?.try_into().ok()
    }

    fn text(&mut self) -> Option<Arc<str>> {
        let length = self.length()?;
        self.text_of(length)
    }

    fn text_of(&mut self, length: usize) -> Option<Arc<str>> {
        std::str::from_utf8(self.take(length)?).ok().map(Arc::from)
    }

    fn float(&mut self) -> Option<f64> {
        let bytes = self.take(size_of::<f64>())?;
        bytes.try_into().ok().map(f64::from_le_bytes)
    }

    fn duration(&mut self) -> Option<Duration> {
        self.varint().map(Duration::from_nanos)
    }

    fn flags<const COUNT: usize>(&mut self) -> Option<[bool; COUNT]> {
        let byte = self.byte()?;
        Some(std::array::from_fn(|bit| byte >> bit & 1 == 1))
    }

    /// Reads a value if it is present, and returns the default otherwise.
    fn value_or_default<T, F>(&mut self, present: bool, default: T, read: F) -> Option<T>
    where
        F: FnOnce(&mut Self) -> Option<T>,
    {
        if present { read(self) } else { Some(default) }
    }

    pub(super) fn contract(&mut self) -> Option<CustomerContract> {
        let account_count: [u8; COUNT_BYTES] = self.take(COUNT_BYTES)?.try_into().ok()?;
        let account_count = u32::from_le_bytes(account_count) as usize;
        let hashes = self.take(account_count * DIGEST_BYTES)?.to_vec();
        let customer = CustomerName::new(&self.text()?);
        let team = self.text()?;
        let hashes = hashes.chunks_exact(DIGEST_BYTES);
        let tokens = hashes
            .map(|hash| self.account(ContentDigest(hash.try_into().ok()?)))
            .collect::<Option<Vec<_>>>()?;
        let [burst, header] = self.flags()?;
        let per_second = self.float()?;
        let burst = self.value_or_default(burst, None, |reader| reader.varint_u32().map(Some))?;
        let concurrency = self.varint_u32()?;
        let retry_budget = RetryBudget {
            share: self.float()?,
            min_per_second: self.float()?,
        };
        let hedge_budget = HedgeBudget {
            share: self.float()?,
        };
        let leaning = leaning_of(self.byte()?)?;
        let reply_id_header =
            self.value_or_default(header, None, |reader| reader.text().map(Some))?;
        let count = self.length()?;
        let services: Vec<ServiceTerms> =
            (0..count).map(|_| self.service()).collect::<Option<_>>()?;
        let count = self.length()?;
        let routes = (0..count)
            .map(|_| self.route(&services))
            .collect::<Option<_>>()?;
        Some(CustomerContract {
            customer,
            team,
            tokens,
            rate: RateLimit { per_second, burst },
            concurrency,
            retry_budget,
            hedge_budget,
            leaning,
            reply_id_header,
            services,
            routes,
        })
    }

    fn account(&mut self, sha256: ContentDigest) -> Option<ClientAccount> {
        let id_header = self.length()?;
        let id = self.text_of(id_header >> 1)?;
        let role =
            self.value_or_default(id_header & 1 == 1, None, |reader| reader.text().map(Some))?;
        Some(ClientAccount { id, sha256, role })
    }

    fn service(&mut self) -> Option<ServiceTerms> {
        let name = ServiceName::new(&self.text()?);
        let [floor, floor_count, deadline, max_deadline, slots, objective] = self.flags()?;
        Some(ServiceTerms {
            name,
            floor: self.value_or_default(floor, DEFAULT_FLOOR, Self::float)?,
            floor_count: self.value_or_default(
                floor_count,
                DEFAULT_FLOOR_COUNT,
                Self::varint_u32,
            )?,
            deadline: self.value_or_default(deadline, DEFAULT_DEADLINE, Self::duration)?,
            max_deadline: self
                .value_or_default(max_deadline, None, |reader| reader.duration().map(Some))?,
            slots: self.value_or_default(slots, None, |reader| reader.varint_u32().map(Some))?,
            objective: self
                .value_or_default(objective, None, |reader| reader.objective().map(Some))?,
        })
    }

    fn objective(&mut self) -> Option<ServiceObjective> {
        Some(ServiceObjective {
            latency: self.duration()?,
            success: self.float()?,
            window: self.duration()?,
        })
    }

    fn route(&mut self, services: &[ServiceTerms]) -> Option<RouteTerms> {
        let service_index = self.length()?;
        let prefix = self.text()?;
        let [
            non_idempotent,
            deadline,
            priority,
            max_body,
            reply_buffer,
            hedge,
            hedged,
            keys,
        ] = self.flags()?;
        let count = self.length()?;
        let methods = self.take(count)?.iter();
        let methods = methods
            .map(|method| RouteMethod::ALL.get(usize::from(*method)).copied())
            .collect::<Option<_>>()?;
        Some(RouteTerms {
            prefix,
            methods,
            service: services.get(service_index)?.name.clone(),
            repeat: if non_idempotent {
                RepeatClass::NonIdempotent
            } else {
                RepeatClass::Idempotent
            },
            deadline: self
                .value_or_default(deadline, None, |reader| reader.duration().map(Some))?,
            priority: self.value_or_default(priority, DEFAULT_PRIORITY, Self::byte)?,
            max_body: self.value_or_default(max_body, DEFAULT_MAX_BODY, Self::varint)?,
            reply_buffer: self.value_or_default(
                reply_buffer,
                DEFAULT_REPLY_BUFFER,
                Self::varint,
            )?,
            hedge: hedge.then_some(hedged),
            keys: self.value_or_default(keys, KeyTerms::default(), Self::keys)?,
        })
    }

    fn keys(&mut self) -> Option<KeyTerms> {
        let [has_required, required, window] = self.flags()?;
        Some(KeyTerms {
            required: has_required.then_some(required),
            opaque: if window {
                OpaqueKeys::Window
            } else {
                OpaqueKeys::Refuse
            },
            memory: self.duration()?,
        })
    }
}

const fn leaning_of(byte: u8) -> Option<DetectionLeaning> {
    match byte {
        0 => Some(DetectionLeaning::FewFalseEjections),
        1 => Some(DetectionLeaning::Balanced),
        2 => Some(DetectionLeaning::FastDetection),
        _ => None,
    }
}
