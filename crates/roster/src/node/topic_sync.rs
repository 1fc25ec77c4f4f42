//! Exchange of retained topics, such as contract heads, whose versions are part of the digests.

use std::net::SocketAddr;

use super::{NodeRoster, RosterContext};
use crate::budget::SendClass;
use crate::message::{MessagePurpose, TopicHead};

impl NodeRoster {
    pub(super) fn send_topics(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        heads: Vec<TopicHead>,
        wanted: bool,
    ) {
        let purpose = MessagePurpose::Topics { heads, wanted };
        self.send(context, SendClass::Head, to, purpose, Vec::new());
    }

    /// Sends the versions that the peer lacks and requests those that the peer has newer.
    pub(super) fn compare_topics(
        &mut self,
        context: &mut RosterContext<'_>,
        from: SocketAddr,
        heads: &[TopicHead],
        wanted: bool,
    ) {
        let mut outdated = Vec::new();
        let mut to_send = Vec::new();
        for head in heads {
            let own = self.topics.version(head.topic, head.key);
            if own < Some(head.version) {
                outdated.push(TopicHead {
                    version: own.unwrap_or_default(),
                    ..*head
                });
            } else if own > Some(head.version) {
                to_send.push((head.topic, head.key));
            }
        }
        if wanted {
            to_send = heads.iter().map(|head| (head.topic, head.key)).collect();
        } else {
            to_send.extend(self.unlisted_topics(heads));
            if !outdated.is_empty() {
                self.send_topics(context, from, outdated, true);
            }
        }
        self.send_topic_states(context, from, &to_send);
    }

    fn unlisted_topics(&self, heads: &[TopicHead]) -> Vec<(u8, u64)> {
        self.topics
            .heads()
            .iter()
            .map(|head| (head.topic, head.key))
            .filter(|pair| heads.iter().all(|head| (head.topic, head.key) != *pair))
            .collect()
    }

    fn send_topic_states(
        &mut self,
        context: &mut RosterContext<'_>,
        to: SocketAddr,
        topic_keys: &[(u8, u64)],
    ) {
        for (topic, key) in topic_keys {
            let Some(rumour) = self.topics.rumour(*topic, *key) else {
                continue;
            };
            let purpose = MessagePurpose::State;
            if !self.send(context, SendClass::Head, to, purpose, vec![rumour]) {
                return;
            }
        }
    }
}
