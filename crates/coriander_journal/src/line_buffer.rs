//! The buffer between the threads that log and the thread that writes.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that may wait before lines of level info and below are left out.
const MAX_INFO_BYTES: usize = 256 * 1024;

/// Bytes that may wait before warnings and errors are left out too.
const MAX_WARNING_BYTES: usize = 512 * 1024;

/// Time for which the writer collects lines, so that many lines cost one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct BufferState {
    bytes: Vec<u8>,
    dropped_lines: u64,
    /// Whether the writer is writing what it took.
    is_writing: bool,
}

/// Lines on their way to standard output. Adding a line never waits for the reader.
///
/// ```
/// use coriander_journal::LineBuffer;
///
/// let buffer = LineBuffer::default();
/// buffer.add(b"part=config msg=\"version in force\"\n", false);
/// assert_eq!(buffer.dropped_lines(), 0);
/// ```
#[derive(Clone, Default)]
pub struct LineBuffer {
    shared: Arc<(Mutex<BufferState>, Condvar)>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // A thread that panicked while it held the lock left a usable buffer.
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line, or counts it as left out if too much waits. `important` lines have more room.
    pub fn add(&self, line: &[u8], is_important: bool) {
        let mut state = self.lock();
        let capacity = if is_important {
            MAX_WARNING_BYTES
        } else {
            MAX_INFO_BYTES
        };
        if state.bytes.len() + line.len() > capacity {
            state.dropped_lines += 1;
            return;
        }
        let was_empty = state.bytes.is_empty();
        state.bytes.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.1.notify_all();
        }
    }

    /// Returns the number of lines left out since the last report.
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped_lines
    }

    /// Writes lines to `output` on a thread of its own, until the process ends.
    pub fn spawn_writer(&self, mut output: impl Write + Send + 'static) -> io::Result<()> {
        let buffer = self.clone();
        let builder = thread::Builder::new().name("journal".into());
        builder.spawn(move || {
            loop {
                let bytes = buffer.take();
                // Nobody can be told that standard output has failed.
                let _ = output.write_all(&bytes).and_then(|()| output.flush());
                buffer.lock().is_writing = false;
                buffer.shared.1.notify_all();
                thread::sleep(WRITE_INTERVAL);
            }
        })?;
        Ok(())
    }

    /// Waits for lines and takes them.
    fn take(&self) -> Vec<u8> {
        let mut state = self.lock();
        while state.bytes.is_empty() {
            let waited = self.shared.1.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        let dropped_lines = std::mem::take(&mut state.dropped_lines);
        let mut bytes = std::mem::take(&mut state.bytes);
        drop(state);
        if dropped_lines > 0 {
            let line =
                format!("level=warn part=journal msg=\"lines left out\" count={dropped_lines}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Waits until all lines are written, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let state = self.lock();
        let unwritten = |state: &mut BufferState| state.is_writing || !state.bytes.is_empty();
        // After the limit the remaining lines are given up.
        let _ = self.shared.1.wait_timeout_while(state, limit, unwritten);
    }
}

/// Adds each complete line that is written to it to a [`LineBuffer`].
pub struct LineWriter {
    buffer: LineBuffer,
}

impl LineWriter {
    /// Creates a writer for a buffer.
    pub const fn new(buffer: LineBuffer) -> Self {
        Self { buffer }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_important = line
            .windows(LEVEL_FIELD.len() + 1)
            .find(|window| window.starts_with(LEVEL_FIELD))
            .is_some_and(|window| matches!(window[LEVEL_FIELD.len()], b'w' | b'e'));
        self.buffer.add(line, is_important);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Field that tells the level of a line.
const LEVEL_FIELD: &[u8] = b" level=";
