use std::time::Duration;

use anyhow::Context;
use tokio::runtime::{Builder, Handle, Runtime};

/// A runtime of its own for a process of an instance, so that it can be killed
/// and paused apart from the others.
#[derive(Debug)]
pub struct InstanceRuntime {
    runtime: Option<Runtime>,
}

impl InstanceRuntime {
    /// Starts a runtime with one thread of the given name.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(name: &str) -> anyhow::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()
            .context("starting a runtime")?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Returns where tasks are started.
    ///
    /// # Panics
    ///
    /// Panics after `kill`.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        let runtime = self.runtime.as_ref();
        runtime.expect("the runtime has not been killed").handle()
    }

    /// Pauses everything that runs in it, which does not know of it.
    pub fn pause(&self, time: Duration) {
        self.handle().spawn(async move { std::thread::sleep(time) });
    }

    /// Ends everything that runs in it, at once.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for InstanceRuntime {
    fn drop(&mut self) {
        self.end();
    }
}
