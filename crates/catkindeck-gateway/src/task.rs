//! Tasks that run for the life of the process.

use {
    crate::{core::GatewayCore, events::TASK_PANICKED},
    catkindeck::log_event,
    futures_util::FutureExt,
    slog::Logger,
    std::{panic::AssertUnwindSafe, rc::Rc, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
};

/// The pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Spawns a task that is started again if it panics.
///
/// An unexpected error in one task, such as the decoding of one message, must neither end the process nor leave
/// it running without the task.
pub fn spawn_supervised<F>(
    core: &Rc<GatewayCore>,
    name: &'static str,
    start: impl Fn() -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    let logger = core.logger.clone();
    tokio::task::spawn_local(supervise(logger, name, start))
}

/// Runs a task of one request or item, and calls `recover` if it panics.
pub async fn run_guarded(
    logger: Logger,
    name: &'static str,
    task: impl Future<Output = ()>,
    recover: impl FnOnce(),
) {
    if AssertUnwindSafe(task).catch_unwind().await.is_err() {
        log_event!(logger, TASK_PANICKED; "task" => name);
        recover();
    }
}

/// Runs a task until it ends without a panic.
pub async fn supervise<F>(logger: Logger, name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        log_event!(logger, TASK_PANICKED; "task" => name);
        sleep(RESTART_PAUSE).await;
    }
}
