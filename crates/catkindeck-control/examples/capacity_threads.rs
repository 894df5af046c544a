//! Prints the memory of waiting threads for `docs/CAPACITY.md`.
//!
//! Entries and agents use one blocking thread for each stream, and the owner of a training run uses
//! one for each sample that is being generated. Memory figures are read from the operating system
//! and depend on its page size and C library.

use std::{
    fs,
    sync::mpsc::{Receiver, channel},
    thread,
};

/// The stack sizes of the workers of a training run and of the handlers of an entry, and the
/// default.
const STACK_SIZES: [(&str, usize); 3] = [
    ("run worker, 256 KiB", 256 << 10),
    ("entry handler, 512 KiB", 512 << 10),
    ("default, 2 MiB", 2 << 20),
];

const THREAD_COUNTS: [usize; 4] = [8, 100, 700, 2_000];

/// The size of the stack that a thread has used before it waits, in bytes, as after a deep call.
const TOUCHED_STACK_BYTES: usize = 16 << 10;

fn main() {
    println!(
        "# KiB per thread: resident while waiting, resident after using {TOUCHED_STACK_BYTES} \
         bytes of stack, virtual"
    );
    for (what, stack) in STACK_SIZES {
        for count in THREAD_COUNTS {
            let (idle, _) = measure(count, stack, false);
            let (touched, size) = measure(count, stack, true);
            println!("{what:<24} {count:>5} threads {idle:>8.1} {touched:>8.1} {size:>9.1}");
        }
    }
}

/// Returns the resident and the virtual memory of each of `count` waiting threads, in KiB.
fn measure(count: usize, stack: usize, touch: bool) -> (f64, f64) {
    let before = (status("VmRSS:"), status("VmSize:"));
    let (ready, started) = channel();
    let mut ends = Vec::new();
    let mut threads = Vec::new();
    for _ in 0..count {
        let (end, wait) = channel::<()>();
        let ready = ready.clone();
        ends.push(end);
        let builder = thread::Builder::new().stack_size(stack);
        let spawned = builder.spawn(move || {
            if touch {
                touch_stack();
            }
            // Cannot fail: the receiver exists until every thread is ready.
            let _ = ready.send(());
            wait_for(&wait);
        });
        threads.push(spawned.expect("the system can start another thread"));
    }
    (0..count).for_each(|_| started.recv().expect("every thread sends once"));
    let after = (status("VmRSS:"), status("VmSize:"));
    drop(ends);
    for thread in threads {
        thread.join().expect("the threads do not panic");
    }
    let share = |before: f64, after: f64| (after - before) / count as f64;
    (share(before.0, after.0), share(before.1, after.1))
}

#[inline(never)]
fn touch_stack() {
    let mut bytes = [0_u8; TOUCHED_STACK_BYTES];
    std::hint::black_box(&mut bytes);
}

fn wait_for(wait: &Receiver<()>) {
    // Returns an error when the sender is dropped.
    let _ = wait.recv();
}

/// Reads a field of this process's status from the operating system, in KiB.
fn status(field: &str) -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("the system is Linux");
    let line = text.lines().find(|line| line.starts_with(field));
    let figure = line.and_then(|line| line.split_whitespace().nth(1));
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0.0)
}
