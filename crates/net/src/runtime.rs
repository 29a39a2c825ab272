//! [`Runtime`]: the process's executor and its worker threads.

use std::future::Future;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;

/// A cloneable handle to the process's executor.
#[derive(Clone, Debug, Default)]
pub struct Runtime(Arc<Executor<'static>>);

impl AsRef<Executor<'static>> for Runtime {
    fn as_ref(&self) -> &Executor<'static> {
        &self.0
    }
}

impl Runtime {
    /// Creates an executor and starts `threads` worker threads, which run until the process exits.
    pub fn start(threads: usize) -> Self {
        let rt = Self::default();
        for i in 0..threads {
            let ex = rt.0.clone();
            let run = move || async_io::block_on(ex.run(std::future::pending::<()>()));
            let spawned = thread::Builder::new().name(format!("worker-{i}")).spawn(run);
            assert!(spawned.is_ok(), "failed to spawn a worker thread");
        }
        rt
    }

    /// Spawns a detached future, which runs until it completes.
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(f).detach();
    }

    /// Spawns a future that is cancelled when the returned task is dropped.
    pub fn spawn_task<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.0.spawn(f)
    }
}

/// Completes after `time`.
pub async fn sleep(time: Duration) {
    Timer::after(time).await;
}

/// Runs `f` for at most `time`; returns `None` on a timeout.
pub async fn timeout<T>(time: Duration, f: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(time).await;
        None
    };
    futures_lite::future::or(async { Some(f.await) }, expired).await
}
