//! Concurrent writes with request ids that are repeated until they are acknowledged.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ntex::rt::JoinHandle;
use tokio::time::sleep;

use super::fleet::{Ask, Sender};

const PAUSE: Duration = Duration::from_millis(10);

/// Writers, one per instance.
pub struct WriteLoad {
    stops: Rc<Cell<bool>>,
    acknowledged: Rc<Cell<usize>>,
    writers: Vec<JoinHandle<Vec<String>>>,
}

impl WriteLoad {
    /// Starts writers whose values begin with a label.
    pub fn start(sender: &Sender, label: &str, writers: usize) -> Self {
        let stops = Rc::new(Cell::new(false));
        let acknowledged = Rc::new(Cell::new(0));
        let start_writer = |writer: usize| {
            let (sender, stops) = (sender.clone(), stops.clone());
            let acknowledged = acknowledged.clone();
            let label = label.to_owned();
            ntex::rt::spawn(async move {
                let mut values = Vec::new();
                while !stops.get() {
                    let value = format!("{label}-{writer}-{}", values.len());
                    let ask = Ask::insert(&value).id(&value);
                    sender.ask_until_ok(writer % 3, &ask).await;
                    acknowledged.set(acknowledged.get() + 1);
                    values.push(value);
                    sleep(PAUSE).await;
                }
                values
            })
        };
        let writers = (0..writers).map(start_writer).collect();
        Self {
            stops,
            acknowledged,
            writers,
        }
    }

    /// Number of acknowledged writes so far.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.get()
    }

    /// Ends the writers and returns all acknowledged values.
    pub async fn finish(self) -> Vec<String> {
        self.stops.set(true);
        let mut values = Vec::new();
        for writer in self.writers {
            values.extend(writer.await.expect("writer"));
        }
        values
    }
}
