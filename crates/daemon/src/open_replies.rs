//! Count of the replies that are not written completely.
//!
//! A reply is written once the kernel has taken its last byte. The decision thread regards a request
//! as finished as soon as its reply is complete, but a process that ended then would cut off every
//! reply that its reader takes slowly.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Shared count of open replies, to callers and to peers; clones share one count.
#[derive(Clone, Debug, Default)]
pub struct OpenReplies {
    count: Arc<AtomicUsize>,
}

impl OpenReplies {
    /// Counts a reply until the returned value is dropped.
    #[must_use]
    pub fn open(&self) -> OpenReply {
        self.count.fetch_add(1, Ordering::AcqRel);
        OpenReply {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of open replies.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// A reply that counts as open until it is dropped.
#[derive(Debug)]
pub struct OpenReply {
    count: Arc<AtomicUsize>,
}

impl Drop for OpenReply {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
