//! Trainers submit batches with large bodies, one after the other, read them and end them. The platform ends each process
//! that uses more memory than it may, and starts it again.

use crate::{
    Verdict,
    deployment::{Deployment, Desired},
    node::Node,
    record::Record,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{scope, sleep},
    time::{Duration, Instant},
};

/// The items of a batch, and the bytes of the body of each: 10 MB, which is 14 MB as the text of a submission.
const LARGE: (usize, usize) = (40, 256 << 10);

/// The same without the large bodies; 600 bytes are the mean of the site.
const SMALL: (usize, usize) = (40, 600);

/// How long batches are submitted.
const TRAFFIC: Duration = Duration::from_secs(80);

/// How often the processes of a machine may end by themselves.
const ALLOWED: usize = 2;

/// The pause after which a process that has ended is started again.
const RESTART: Duration = Duration::from_millis(2_500);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let desired = Desired {
        has_more: true,
        ..Desired::default()
    };
    let mut deployment = Deployment::start(record, 3, &desired);
    deployment.add_standby("standby-b", "zone-b");
    deployment.add_standby("standby-c", "zone-b");
    sleep(Duration::from_secs(5));
    let nodes: Vec<Mutex<Node>> = std::mem::take(&mut deployment.standbys)
        .into_iter()
        .map(Mutex::new)
        .collect();
    let ends: Vec<Mutex<usize>> = nodes.iter().map(|_| Mutex::new(0)).collect();
    let is_over = AtomicBool::new(false);
    let size = match has_trouble {
        true => LARGE,
        false => SMALL,
    };
    let mut accepted: usize = 0;
    let is_broken = || ends.iter().filter(|ends| *ends.lock().unwrap() > ALLOWED).count() > 1;
    let [first, second] = &deployment.entries[..] else {
        unreachable!()
    };
    scope(|scope| {
        for (node, ends) in nodes.iter().zip(&ends) {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    sleep(Duration::from_millis(50));
                    let mut node = node.lock().unwrap();
                    let (used, limit) = (node.memory_kb(), node.memory_limit_kb);
                    if used > limit {
                        *ends.lock().unwrap() += 1;
                        record.line(&format!("{} uses {used} kB of {limit} kB and is ended", node.name));
                        node.end();
                        sleep(RESTART);
                        node.restart();
                    }
                }
            });
        }
        let started = Instant::now();
        let trainers = [("drafts", "model-a"), ("more", "model-b")].map(|trainer| {
            let (deployment, is_broken) = (&deployment, &is_broken);
            scope.spawn(move || {
                let mut accepted = 0;
                for number in 0.. {
                    if started.elapsed() >= TRAFFIC || is_broken() {
                        break;
                    }
                    let lot = format!("{}-{number}", trainer.0);
                    if deployment.submit_large(first, trainer, &lot, size) != 202 {
                        sleep(Duration::from_millis(200));
                        continue;
                    }
                    accepted += 1;
                    deployment.results(second, &lot);
                    deployment.end(second, &lot);
                }
                accepted
            })
        });
        accepted = trainers.map(|trainer| trainer.join().unwrap()).iter().sum();
        is_over.store(true, Ordering::SeqCst);
    });
    let counts: Vec<usize> = ends.iter().map(|ends| *ends.lock().unwrap()).collect();
    let memory: Vec<u64> = nodes.iter().map(|node| node.lock().unwrap().memory_kb()).collect();
    record.line(&format!(
        "{accepted} batches were accepted; ends: {counts:?}; memory in kB: {memory:?}"
    ));
    match counts.iter().filter(|count| **count > ALLOWED).count() > 1 {
        true => Verdict::Broken(format!(
            "the processes of two machines ended by themselves, {counts:?} times"
        )),
        false => Verdict::Held,
    }
}
