//! Encoder of the compact form.

use std::time::Duration;

use crate::contract::CustomerContract;
use crate::terms::{
    ClientAccount, DEFAULT_DEADLINE, DEFAULT_FLOOR, DEFAULT_FLOOR_COUNT, DEFAULT_MAX_BODY,
    DEFAULT_PRIORITY, DEFAULT_REPLY_BUFFER, KeyTerms, OpaqueKeys, RepeatClass, RouteTerms,
    ServiceTerms,
};

#[derive(Default)]
pub(super) struct PackWriter {
    pub(super) bytes: Vec<u8>,
}

impl PackWriter {
    fn varint(&mut self, mut value: u64) {
        while value > 0x7f {
            let low = u8::try_from(value & 0x7f).unwrap_or_default();
            self.bytes.push(low | 0x80);
            value >>= 7;
        }
        self.bytes.push(u8::try_from(value).unwrap_or_default());
    }

    fn text(&mut self, text: &str) {
        self.varint(text.len() as u64);
        self.bytes.extend_from_slice(text.as_bytes());
    }

    fn float(&mut self, value: f64) {
        self.bytes.extend_from_slice(&value.to_le_bytes());
    }

    fn duration(&mut self, value: Duration) {
        self.varint(u64::try_from(value.as_nanos()).unwrap_or(u64::MAX));
    }

    fn flags(&mut self, flags: &[bool]) {
        let bits = flags.iter().rev();
        self.bytes
            .push(bits.fold(0, |byte, flag| byte << 1 | u8::from(*flag)));
    }

    pub(super) fn contract(&mut self, contract: &CustomerContract) {
        let count = u32::try_from(contract.tokens.len()).unwrap_or(u32::MAX);
        self.bytes.extend_from_slice(&count.to_le_bytes());
        for account in &contract.tokens {
            self.bytes.extend_from_slice(&account.sha256.0);
        }
        self.text(contract.customer.as_str());
        self.text(&contract.team);
        for account in &contract.tokens {
            self.account(account);
        }
        self.limits(contract);
        self.varint(contract.services.len() as u64);
        for service in &contract.services {
            self.service(service);
        }
        self.varint(contract.routes.len() as u64);
        for route in &contract.routes {
            let mut names = contract.services.iter();
            let service_index = names.position(|service| service.name == route.service);
            self.varint(service_index.unwrap_or_default() as u64);
            self.route(route);
        }
    }

    /// Writes an account without its token hash. One number contains the length of the id and, in
    /// its lowest bit, whether a role follows.
    fn account(&mut self, account: &ClientAccount) {
        self.varint((account.id.len() as u64) << 1 | u64::from(account.role.is_some()));
        self.bytes.extend_from_slice(account.id.as_bytes());
        if let Some(role) = &account.role {
            self.text(role);
        }
    }

    fn limits(&mut self, contract: &CustomerContract) {
        self.flags(&[
            contract.rate.burst.is_some(),
            contract.reply_id_header.is_some(),
        ]);
        self.float(contract.rate.per_second);
        if let Some(burst) = contract.rate.burst {
            self.varint(u64::from(burst));
        }
        self.varint(u64::from(contract.concurrency));
        self.float(contract.retry_budget.share);
        self.float(contract.retry_budget.min_per_second);
        self.float(contract.hedge_budget.share);
        self.bytes.push(contract.leaning as u8);
        if let Some(header) = &contract.reply_id_header {
            self.text(header);
        }
    }

    fn service(&mut self, service: &ServiceTerms) {
        let floor = service.floor.to_bits() != DEFAULT_FLOOR.to_bits();
        let floor_count = service.floor_count != DEFAULT_FLOOR_COUNT;
        let deadline = service.deadline != DEFAULT_DEADLINE;
        self.text(service.name.as_str());
        self.flags(&[
            floor,
            floor_count,
            deadline,
            service.max_deadline.is_some(),
            service.slots.is_some(),
            service.objective.is_some(),
        ]);
        if floor {
            self.float(service.floor);
        }
        if floor_count {
            self.varint(u64::from(service.floor_count));
        }
        if deadline {
            self.duration(service.deadline);
        }
        if let Some(max_deadline) = service.max_deadline {
            self.duration(max_deadline);
        }
        if let Some(slots) = service.slots {
            self.varint(u64::from(slots));
        }
        if let Some(objective) = &service.objective {
            self.duration(objective.latency);
            self.float(objective.success);
            self.duration(objective.window);
        }
    }

    fn route(&mut self, route: &RouteTerms) {
        let priority = route.priority != DEFAULT_PRIORITY;
        let max_body = route.max_body != DEFAULT_MAX_BODY;
        let reply_buffer = route.reply_buffer != DEFAULT_REPLY_BUFFER;
        let keys = route.keys != KeyTerms::default();
        self.text(&route.prefix);
        self.flags(&[
            route.repeat == RepeatClass::NonIdempotent,
            route.deadline.is_some(),
            priority,
            max_body,
            reply_buffer,
            route.hedge.is_some(),
            route.hedge == Some(true),
            keys,
        ]);
        self.varint(route.methods.len() as u64);
        let methods = route.methods.iter();
        self.bytes.extend(methods.map(|method| *method as u8));
        if let Some(deadline) = route.deadline {
            self.duration(deadline);
        }
        if priority {
            self.bytes.push(route.priority);
        }
        if max_body {
            self.varint(route.max_body);
        }
        if reply_buffer {
            self.varint(route.reply_buffer);
        }
        if keys {
            self.keys(&route.keys);
        }
    }

    fn keys(&mut self, keys: &KeyTerms) {
        self.flags(&[
            keys.required.is_some(),
            keys.required == Some(true),
            keys.opaque == OpaqueKeys::Window,
        ]);
        self.duration(keys.memory);
    }
}
