//! G7: an account gets no more than its rate and burst, summed over all instances.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::fleet::{CallerRequest, Fleet};
use tokio::time::sleep;

const ACCOUNT: &str = "limited";
const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
const TASKS_PER_INSTANCE: usize = 10;
const PHASE_DURATION: Duration = Duration::from_secs(3);

/// Send and response times of the admitted requests.
type Admitted = Rc<RefCell<Vec<(Instant, Instant)>>>;

/// Returns a window in which more requests were admitted than rate and burst allow.
///
/// Counts only requests whose sending and response both lie in the window, because only these were
/// certainly admitted in it.
fn find_excess(admitted: &[(Instant, Instant)]) -> Option<(usize, Duration)> {
    let mut by_response_time = admitted.to_vec();
    by_response_time.sort_by_key(|(_, received)| *received);
    for (start, _) in admitted {
        let mut count = 0;
        for (_, received) in by_response_time.iter().filter(|(sent, _)| sent >= start) {
            count += 1;
            let window = received.duration_since(*start);
            if f64::from(count) > BURST + RATE * window.as_secs_f64() {
                return Some((count as usize, window));
            }
        }
    }
    None
}

/// Guards against tokens that are spent twice: by an instance whose grants expired while it was
/// paused, or after another instance has taken over the shard of a killed one.
#[ntex::test]
async fn rate_holds_while_instances_pause_and_crash() {
    let mut fleet = Fleet::start().await;
    let admitted = Admitted::default();
    let limited = Rc::new(Cell::new(0));
    let stop_requested = Rc::new(Cell::new(false));
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..3 * TASKS_PER_INSTANCE {
        let client = fleet.client.clone();
        let (admitted, limited, stop_requested) =
            (admitted.clone(), limited.clone(), stop_requested.clone());
        tasks.push(ntex::rt::spawn(async move {
            let request = CallerRequest::new(&["SELECT 1"])
                .account(ACCOUNT)
                .class("quick");
            while !stop_requested.get() {
                let sent = Instant::now();
                match client.try_send(number % 3, &request).await {
                    Ok(reply) if reply.is_ok() => {
                        admitted.borrow_mut().push((sent, Instant::now()));
                    }
                    Ok(reply) if reply.code() == "RATE_LIMITED" => limited.set(limited.get() + 1),
                    _ => {}
                }
                sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    let names = fleet.run.instances.iter().map(|spec| spec.name.clone());
    let names: Vec<_> = names.collect();
    sleep(PHASE_DURATION).await;
    fleet.run.group.pause(&names[1]).unwrap();
    sleep(PHASE_DURATION).await;
    fleet.run.group.resume(&names[1]).unwrap();
    sleep(PHASE_DURATION).await;
    fleet.run.group.kill(&names[2]).unwrap();
    sleep(PHASE_DURATION).await;
    let end = Instant::now();
    stop_requested.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    let admitted = admitted.borrow();
    assert_eq!(find_excess(&admitted), None);
    assert!(limited.get() > 0, "the account never exceeded its rate");
    // An instance that admits nothing would pass the check above as well.
    let min_admitted = RATE * end.duration_since(start).as_secs_f64() / 4.0;
    assert!(
        admitted.len() as f64 > min_admitted,
        "only {} admitted",
        admitted.len()
    );
    println!("{} admitted, {} limited", admitted.len(), limited.get());
}
