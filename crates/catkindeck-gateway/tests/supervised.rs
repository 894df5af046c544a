//! Tasks that meet an unexpected error.

use {
    catkindeck::log::discard_logger,
    catkindeck_gateway::task::{run_guarded, supervise},
    std::cell::Cell,
};

/// Guards against a process that goes on without one of its tasks after a panic, for example without renewing its
/// lease, or that ends because of it.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Cell::new(0);
    let task = || async {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 3, "an unexpected message");
    };
    supervise(discard_logger(), "test", task).await;
    assert_eq!(starts.get(), 4);
}

/// Guards against an item that counts as running forever because the task that ran it met an unexpected error.
#[tokio::test]
async fn an_item_whose_task_panics_is_released() {
    let released = Cell::new(false);
    let task = async { panic!("an unexpected event") };
    run_guarded(discard_logger(), "item", task, || released.set(true)).await;
    assert!(released.get());
}
