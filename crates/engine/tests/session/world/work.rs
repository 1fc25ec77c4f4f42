//! Simulated execution of work: offers, runs, cancellations, losses and answers.

use super::*;

impl SessionWorld {
    pub(super) fn script(&self, id: NodeId) -> BackendScript {
        self.scripts.get(&id).copied().unwrap_or_default()
    }

    /// Returns the delay from one node to another; `None` if the transmission is lost.
    pub(super) fn link_delay(
        &mut self,
        from: NodeId,
        to: NodeId,
        message: bool,
    ) -> Option<Duration> {
        if from == to {
            return Some(LINK_DELAY);
        }
        let lost =
            message && self.network.loss > 0 && self.rng.random_range(0..100) < self.network.loss;
        if lost || self.network.cuts.contains(&(from, to)) {
            return None;
        }
        let extra = match self.network.jitter {
            0 => 0,
            jitter => self.rng.random_range(0..=jitter),
        };
        Some(LINK_DELAY + Duration::from_millis(extra))
    }

    /// Returns the time until a message has passed the links of both nodes, behind the messages
    /// sent before it.
    pub(super) fn transfer_time(
        &mut self,
        from: NodeId,
        to: NodeId,
        message: &PeerMessage,
    ) -> Duration {
        let Some(rate) = self.network.link_rate else {
            return Duration::ZERO;
        };
        let duration = passing_time(encoded_size(message), rate);
        let uplink = self.uplinks_busy_until.entry(from).or_default();
        *uplink = self.now.max(*uplink) + duration;
        let downlink = self.downlinks_busy_until.entry(to).or_default();
        *downlink = (*uplink).max(*downlink + duration);
        downlink.saturating_sub(self.now)
    }

    /// Sends a contract from the source to a node, whose link it occupies as JSON.
    pub fn read_from_source(&mut self, to: NodeId, contract: &Arc<FleetContract>) {
        let mut delay = LINK_DELAY;
        if let Some(rate) = self.network.link_rate {
            let bytes = serde_json::to_vec(contract.as_ref()).map_or(0, |json| json.len());
            let downlink = self.downlinks_busy_until.entry(to).or_default();
            *downlink = self.now.max(*downlink) + passing_time(bytes, rate);
            delay += downlink.saturating_sub(self.now);
        }
        let event = NodeEvent::FleetContract(Arc::clone(contract));
        self.schedule(delay, QueuedItem::Event(to, Box::new(event)));
    }

    /// Breaks the connection that carried an attempt.
    pub(super) fn lose_connection(&mut self, running: RunningWork, after: Duration) {
        self.schedule(after, QueuedItem::AttemptLost(running));
    }

    /// Cancels an attempt for its ingress node. A keyed attempt continues.
    pub(super) fn cancel(&mut self, ingress: NodeId, attempt: AttemptId) {
        let mut found = self.works.iter();
        let found = found.find(|(_, work)| work.attempt == attempt && !work.keyed);
        let Some((&(executor, work), _)) = found else {
            return;
        };
        let Some(delay) = self.link_delay(ingress, executor, false) else {
            return;
        };
        let Some(running) = self.works.remove(&(executor, work)) else {
            return;
        };
        // The daemon may handle the cancellation before the order to run.
        let event = if running.started && self.rng.random_range(0..100) < 80 {
            NodeEvent::WorkEnded(WorkReport {
                work,
                end: WorkEnd::Cancelled,
                status: None,
                service_time: LINK_DELAY,
                reply: None,
                notice: None,
            })
        } else {
            NodeEvent::WorkCancelled { work }
        };
        // A connection preserves order, so the cancellation arrives after the offer.
        let after = delay.max(running.arrives_at.saturating_sub(self.now));
        self.schedule(after, QueuedItem::Event(executor, Box::new(event)));
    }

    pub(super) fn offer(&mut self, ingress: NodeId, order: AttemptOrder) {
        let work = WorkId(self.next_work);
        self.next_work += 1;
        let executor = order.executor.node;
        let mut running = self.running_work(ingress, &order);
        if self.engines.get(&executor).map(NodeEngine::own_instance) != Some(order.executor) {
            let report = self.report(&running, SampleKind::ConnectionLost, RunState::NotRun);
            self.answer(ingress, &running, report);
            return;
        }
        let Some(delay) = self.link_delay(ingress, executor, false) else {
            self.lose_connection(running, CONNECTION_TIMEOUT);
            return;
        };
        running.arrives_at = self.now + delay;
        self.works.insert((executor, work), running);
        let offer = WorkOffer {
            label: Arc::clone(&order.label),
            work,
            from: self.engines[&ingress].own_instance(),
            attempt: order.attempt,
            slot: order.upstream.slot,
            customer: CustomerName::new(order.customer.as_str()),
            service: order.service,
            priority: order.priority,
            time_left: order.time_left,
            signature: order.signature ^ self.audit.body_of(order.attempt.request),
            ticket: order.ticket,
            trial_fit: order.trial_fit,
            insist: order.insist,
            patience: order.patience,
            kind: order.kind,
            arrival: order.arrival,
            terms: order.terms,
        };
        let delay = if executor == ingress {
            Duration::ZERO
        } else {
            delay
        };
        self.schedule(
            delay,
            QueuedItem::Event(executor, Box::new(NodeEvent::WorkOffered(offer))),
        );
    }

    pub(super) fn running_work(&self, ingress: NodeId, order: &AttemptOrder) -> RunningWork {
        RunningWork {
            ingress,
            attempt: order.attempt,
            sent: self.now,
            keyed: order.ticket.is_some(),
            started: false,
            arrives_at: self.now,
        }
    }

    pub(super) fn end_work(&mut self, id: NodeId, work: WorkId) {
        if self.is_frozen(id) {
            self.schedule(SERVICE_TIME, QueuedItem::WorkDone(id, work));
            return;
        }
        let Some(running) = self.works.remove(&(id, work)) else {
            return;
        };
        let mut script = self.script(id);
        let first_crash =
            self.crashing_requests.contains(&running.attempt.request) && running.started;
        if first_crash || (running.started && self.crashed_backends.contains(&id)) {
            script.end = WorkEnd::Crashed;
        } else if !running.started {
            script.end = WorkEnd::NotStarted;
        } else if script.end == WorkEnd::NotStarted {
            script.end = WorkEnd::Replied;
        }
        if script.end == WorkEnd::Crashed && self.audit.is_checking() {
            self.crashed_backends.insert(id);
        }
        if script.declined_percent > 0 && self.rng.random_range(0..100) < script.declined_percent {
            script.end = WorkEnd::Declined;
        }
        if script.end == WorkEnd::Declined {
            let request = running.attempt.request;
            *self.declines.entry(request).or_default() += 1;
        }
        let reply = (script.end == WorkEnd::Replied)
            .then(|| Arc::from(self.audit.reply_of(running.attempt.request)));
        self.audit.on_reply(running.attempt.request, reply.as_ref());
        let report = WorkReport {
            work,
            end: script.end,
            status: (script.end == WorkEnd::Replied).then_some(script.status),
            service_time: script.time,
            reply,
            notice: (script.end == WorkEnd::Replied).then_some(script.notice),
        };
        self.feed(id, NodeEvent::WorkEnded(report));
        if !self.engines.contains_key(&id) {
            return;
        }
        let (kind, run) = match script.end {
            WorkEnd::Replied if script.status >= 500 => (SampleKind::Failed, RunState::Ran),
            WorkEnd::Replied => (SampleKind::Served, RunState::Ran),
            WorkEnd::NotStarted => (SampleKind::ConnectionLost, RunState::NotRun),
            WorkEnd::Declined => (SampleKind::Refused, RunState::NotRun),
            WorkEnd::Crashed => (SampleKind::Crashed, RunState::Unknown),
            _ => (SampleKind::ConnectionLost, RunState::Unknown),
        };
        let mut report = self.report(&running, kind, run);
        report.status = (script.end == WorkEnd::Replied).then_some(script.status);
        report.service_time = Some(script.time);
        report.code = (script.end == WorkEnd::Declined).then_some(RefusalCode::UpstreamFailed);
        if script.end == WorkEnd::Crashed {
            self.withheld_failures.insert((id, work), (running, report));
            self.release(id);
        } else {
            self.answer(id, &running, report);
        }
    }

    /// Reports the failures of crashed work that their engine released.
    pub(super) fn release(&mut self, id: NodeId) {
        let released = std::mem::take(&mut self.released_works);
        for work in released {
            match self.withheld_failures.remove(&(id, work)) {
                Some((running, report)) => self.answer(id, &running, report),
                None => self.released_works.push(work),
            }
        }
    }

    pub(super) fn report(
        &self,
        running: &RunningWork,
        kind: SampleKind,
        run: RunState,
    ) -> AttemptReport {
        AttemptReport {
            attempt: running.attempt,
            kind,
            run,
            status: None,
            latency: (self.now + LINK_DELAY).saturating_sub(running.sent),
            service_time: None,
            load: None,
            code: None,
            retry_after: None,
            reply_bytes: 0,
        }
    }

    pub(super) fn answer(
        &mut self,
        executor: NodeId,
        running: &RunningWork,
        report: AttemptReport,
    ) {
        let Some(delay) = self.link_delay(executor, running.ingress, false) else {
            self.lose_connection(running.clone(), CONNECTION_TIMEOUT);
            return;
        };
        let event = NodeEvent::AttemptEnded(report);
        self.schedule(delay, QueuedItem::Event(running.ingress, Box::new(event)));
    }
}

fn passing_time(bytes: usize, rate: u32) -> Duration {
    Duration::from_secs(1) * u32::try_from(bytes).unwrap_or(u32::MAX) / rate
}
