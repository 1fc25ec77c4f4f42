//! Bounded queues (rings) between the threads.
//!
//! A ring has one consumer, which parks when the ring is empty, and any number of producers. A send
//! to a full ring fails immediately: the producer either rejects its request as overloaded or
//! retries.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, Thread};
use std::time::Duration;

use rtrb::{Consumer, Producer, RingBuffer};

/// Pause before a producer that must not lose its item retries a full ring.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Debug, Default)]
struct RingWaker {
    parked: AtomicBool,
    consumer: OnceLock<Thread>,
}

impl RingWaker {
    fn wake(&self) {
        if self.parked.swap(false, Ordering::SeqCst)
            && let Some(consumer) = self.consumer.get()
        {
            consumer.unpark();
        }
    }
}

/// Sending half of a ring; clones share the ring.
#[derive(Debug)]
pub struct RingSender<T> {
    producer: Arc<Mutex<Producer<T>>>,
    waker: Arc<RingWaker>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self {
            producer: Arc::clone(&self.producer),
            waker: Arc::clone(&self.waker),
        }
    }
}

impl<T> RingSender<T> {
    /// Appends an item without waiting.
    ///
    /// # Errors
    ///
    /// Returns the item when the ring is full.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        let Ok(mut producer) = self.producer.lock() else {
            return Err(item);
        };
        match producer.push(item) {
            Ok(()) => {
                drop(producer);
                self.waker.wake();
                Ok(())
            }
            Err(rtrb::PushError::Full(item)) => Err(item),
        }
    }

    /// Appends an item, retrying while the ring is full. Drops the item when the consumer is gone.
    pub async fn send(&self, item: T) {
        let mut pending = Some(item);
        while let Some(item) = pending.take() {
            pending = self.try_send(item).err();
            if pending.is_some() {
                if self.is_disconnected() {
                    return;
                }
                tokio::time::sleep(FULL_RETRY_INTERVAL).await;
            }
        }
    }

    /// Appends an item like [`Self::send`], blocking the calling thread.
    pub fn send_blocking(&self, item: T) {
        let mut pending = Some(item);
        while let Some(item) = pending.take() {
            pending = self.try_send(item).err();
            if pending.is_some() {
                if self.is_disconnected() {
                    return;
                }
                thread::sleep(FULL_RETRY_INTERVAL);
            }
        }
    }

    fn is_disconnected(&self) -> bool {
        self.producer
            .lock()
            .map_or(true, |producer| producer.is_abandoned())
    }
}

/// Receiving half of a ring.
#[derive(Debug)]
pub struct RingReceiver<T> {
    consumer: Consumer<T>,
    waker: Arc<RingWaker>,
}

impl<T> RingReceiver<T> {
    /// Removes and returns the oldest item, or `None` when the ring is empty.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Parks the calling thread until an item arrives or `limit` has passed.
    pub fn wait(&mut self, limit: Duration) {
        let _ = self.waker.consumer.set(thread::current());
        self.waker.parked.store(true, Ordering::SeqCst);
        if self.consumer.is_empty() {
            thread::park_timeout(limit);
        }
        self.waker.parked.store(false, Ordering::SeqCst);
    }
}

/// Creates a ring for up to `capacity` items.
#[must_use]
pub fn bounded_ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let waker = Arc::new(RingWaker::default());
    let sender = RingSender {
        producer: Arc::new(Mutex::new(producer)),
        waker: Arc::clone(&waker),
    };
    (sender, RingReceiver { consumer, waker })
}
