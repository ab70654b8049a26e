//! Concurrent writes with request ids that are retried until they are acknowledged.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ntex::rt::JoinHandle;
use tokio::time::sleep;

use super::fleet::{CallerRequest, FleetClient};

const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Concurrent writers, spread over the instances.
pub struct WriteLoad {
    stop_requested: Rc<Cell<bool>>,
    acknowledged: Rc<Cell<usize>>,
    writers: Vec<JoinHandle<Vec<String>>>,
}

impl WriteLoad {
    /// Starts writers whose values begin with a label.
    pub fn start(client: &FleetClient, label: &str, writers: usize) -> Self {
        let stop_requested = Rc::new(Cell::new(false));
        let acknowledged = Rc::new(Cell::new(0));
        let start_writer = |writer: usize| {
            let (client, stop_requested) = (client.clone(), stop_requested.clone());
            let acknowledged = acknowledged.clone();
            let label = label.to_owned();
            ntex::rt::spawn(async move {
                let mut values = Vec::new();
                while !stop_requested.get() {
                    let value = format!("{label}-{writer}-{}", values.len());
                    let request = CallerRequest::insert(&value).request_id(&value);
                    client.send_until_ok(writer % 3, &request).await;
                    acknowledged.set(acknowledged.get() + 1);
                    values.push(value);
                    sleep(WRITE_INTERVAL).await;
                }
                values
            })
        };
        let writers = (0..writers).map(start_writer).collect();
        Self {
            stop_requested,
            acknowledged,
            writers,
        }
    }

    /// Returns the number of writes acknowledged so far.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.get()
    }

    /// Stops the writers and returns all acknowledged values.
    pub async fn finish(self) -> Vec<String> {
        self.stop_requested.set(true);
        let mut values = Vec::new();
        for writer in self.writers {
            values.extend(writer.await.expect("the writer does not panic"));
        }
        values
    }
}
