//! [`Runtime`]: an executor shared by a process's threads.

use std::future::Future;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Timer;

/// A handle to the process's executor.
#[derive(Clone, Debug, Default)]
pub struct Runtime(Arc<Executor<'static>>);

impl AsRef<Executor<'static>> for Runtime {
    fn as_ref(&self) -> &Executor<'static> {
        &self.0
    }
}

impl Runtime {
    /// An executor run by `threads` background threads, which last as long as the process.
    pub fn start(threads: usize) -> Self {
        let rt = Self::default();
        for i in 0..threads {
            let ex = rt.0.clone();
            let run = move || async_io::block_on(ex.run(std::future::pending::<()>()));
            let spawned = thread::Builder::new().name(format!("worker-{i}")).spawn(run);
            assert!(spawned.is_ok(), "the machine gives no more threads");
        }
        rt
    }

    /// Runs a future in the background until it ends.
    pub fn spawn(&self, f: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(f).detach();
    }

    /// Runs a future for as long as the returned task is kept.
    pub fn spawn_task<T: Send + 'static>(
        &self,
        f: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.0.spawn(f)
    }
}

/// Waits for a while.
pub async fn sleep(time: Duration) {
    Timer::after(time).await;
}

/// Runs `f` for at most `time`; `None` when the time was over first.
pub async fn timeout<T>(time: Duration, f: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    futures_lite::future::or(async { Some(f.await) }, late).await
}
