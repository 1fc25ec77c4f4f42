//! Tokio runtime on its own thread, for stand-ins and callers.

use std::future::Future;
use std::thread::{self, JoinHandle};

use anyhow::Context;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Single-threaded runtime on its own thread. Dropping it stops the runtime and joins the thread.
#[derive(Debug)]
pub(super) struct RuntimeThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts a runtime on a new thread with the given name.
    pub(super) fn start(name: &str) -> anyhow::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .with_context(|| format!("could not start the runtime {name}"))?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let _ = runtime.block_on(stopped);
            })
            .with_context(|| format!("could not start the thread {name}"))?;
        Ok(Self {
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Blocks until the future completes. Its connections and tasks run on the runtime thread.
    pub(super) fn wait<F>(&self, future: F) -> F::Output
    where
        F: Future,
    {
        self.handle.block_on(future)
    }

    /// Spawns a future on the runtime thread.
    pub(super) fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.handle.spawn(future);
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
