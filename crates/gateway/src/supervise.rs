//! Background tasks that an unexpected error must not end.

use std::time::Duration;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Spawns a task, and starts it again when it panics. What it knew is lost; it
/// finds the shared state as it left it.
pub fn spawn<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            log::error!(task = name, reason:% = error; "task.failed");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
