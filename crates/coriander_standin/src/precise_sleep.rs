//! Sleeping with a resolution well below a millisecond.
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

struct SleepAlarm {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for SleepAlarm {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for SleepAlarm {}

impl PartialOrd for SleepAlarm {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SleepAlarm {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

/// Sleeps for a time; returns at once if it is zero.
pub async fn precise_sleep(duration: Duration) {
    static ALARMS: OnceLock<Sender<SleepAlarm>> = OnceLock::new();
    if duration.is_zero() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    let due = Instant::now() + duration;
    let alarms = ALARMS.get_or_init(start_thread);
    alarms.send(SleepAlarm { due, wake }).expect("timer thread");
    let _ = woken.await;
}

fn start_thread() -> Sender<SleepAlarm> {
    let (sender, receiver) = channel();
    thread::Builder::new()
        .name("precise-sleep".to_owned())
        .spawn(move || run_alarms(&receiver))
        .expect("timer thread");
    sender
}

fn run_alarms(receiver: &Receiver<SleepAlarm>) {
    let mut alarms: BinaryHeap<Reverse<SleepAlarm>> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while alarms.peek().is_some_and(|Reverse(alarm)| alarm.due <= now) {
            if let Some(Reverse(alarm)) = alarms.pop() {
                let _ = alarm.wake.send(());
            }
        }
        let received = match alarms.peek() {
            Some(Reverse(next)) => receiver.recv_timeout(next.due - now),
            None => receiver.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match received {
            Ok(alarm) => alarms.push(Reverse(alarm)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
