//! Sleeps with a resolution well below a millisecond.
//!
//! The timers of the runtime round up to whole milliseconds, which would more than double one-way
//! delays of 1 to 1.5 ms.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

struct SleepTimer {
    deadline: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for SleepTimer {
    fn eq(&self, other: &Self) -> bool {
        self.deadline == other.deadline
    }
}

impl Eq for SleepTimer {}

impl PartialOrd for SleepTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SleepTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.deadline.cmp(&other.deadline)
    }
}

/// Sleeps for `duration`; returns immediately if it is zero.
pub async fn precise_sleep(duration: Duration) {
    static TIMERS: OnceLock<Sender<SleepTimer>> = OnceLock::new();
    if duration.is_zero() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    let deadline = Instant::now() + duration;
    let timers = TIMERS.get_or_init(start_thread);
    timers
        .send(SleepTimer { deadline, wake })
        .expect("the timer thread is running");
    let _ = woken.await;
}

fn start_thread() -> Sender<SleepTimer> {
    let (sender, receiver) = channel();
    thread::Builder::new()
        .name("precise-sleep".to_owned())
        .spawn(move || run_timers(&receiver))
        .expect("the timer thread starts");
    sender
}

fn run_timers(receiver: &Receiver<SleepTimer>) {
    let mut timers: BinaryHeap<Reverse<SleepTimer>> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while timers
            .peek()
            .is_some_and(|Reverse(timer)| timer.deadline <= now)
        {
            if let Some(Reverse(timer)) = timers.pop() {
                let _ = timer.wake.send(());
            }
        }
        let received = match timers.peek() {
            Some(Reverse(next)) => receiver.recv_timeout(next.deadline - now),
            None => receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(timer) => timers.push(Reverse(timer)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
