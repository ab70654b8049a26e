//! Limits on buffered lines, and logging that a slow reader does not block.

use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coriander_journal::{LineBuffer, LineWriter};

/// An output without a reader: each write sends a notification, then blocks forever.
struct BlockedOutput(Sender<()>);

impl Write for BlockedOutput {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        self.0.send(()).expect("the test waits");
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().expect("not poisoned")).into_owned()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn add_does_not_block_on_blocked_output() {
    let buffer = LineBuffer::default();
    let (blocked, is_blocked) = channel();
    let output = BlockedOutput(blocked);
    buffer.spawn_writer(output).expect("thread starts");
    buffer.add(b"first\n", false);
    // From here on the writer is blocked, so it takes no lines and resets no counts.
    is_blocked.recv().expect("the writer writes");
    let line = [b'x'; 1_000];
    let started = Instant::now();
    for _ in 0..5_000 {
        buffer.add(&line, false);
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(buffer.dropped_lines() > 4_000, "memory is limited");
}

#[test]
fn add_accepts_warnings_after_dropping_information() {
    let buffer = LineBuffer::default();
    let mut writer = LineWriter::new(buffer.clone());
    let info = format!("ts=1 level=info part=request msg={}\n", "x".repeat(1_000));
    for _ in 0..1_000 {
        writer.write_all(info.as_bytes()).expect("never fails");
    }
    let before = buffer.dropped_lines();
    assert!(before > 0);
    let warning = b"ts=1 level=warn part=store msg=\"read failed\"\n";
    writer.write_all(warning).expect("never fails");
    assert_eq!(buffer.dropped_lines(), before);
}

#[test]
fn spawn_writer_reports_dropped_lines() {
    let buffer = LineBuffer::default();
    let line = [b'x'; 100_000];
    for _ in 0..5 {
        buffer.add(&line, false);
    }
    let output = SharedOutput::default();
    buffer.spawn_writer(output.clone()).expect("thread starts");
    buffer.flush(Duration::from_secs(5));
    assert!(output.text().contains("msg=\"lines left out\" count=3"));
}

#[test]
fn flush_waits_for_written_lines() {
    let buffer = LineBuffer::default();
    let output = SharedOutput::default();
    buffer.spawn_writer(output.clone()).expect("thread starts");
    buffer.add(b"part=process msg=stopped\n", false);
    buffer.flush(Duration::from_secs(5));
    assert_eq!(output.text(), "part=process msg=stopped\n");
}
