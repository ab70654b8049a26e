//! Buffer between the threads that log and the thread that writes.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of buffered bytes for a line of level info or below to be accepted.
const MAX_INFO_BYTES: usize = 256 * 1024;

/// Maximum number of buffered bytes for a warning or an error to be accepted.
const MAX_WARNING_BYTES: usize = 512 * 1024;

/// Interval between writes, so that many lines are written with one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct BufferState {
    bytes: Vec<u8>,
    dropped_lines: u64,
    /// Whether the writer is writing the bytes that it took.
    is_writing: bool,
}

/// Buffered lines for standard output. Adding a line never blocks on the output.
///
/// ```
/// use coriander_journal::LineBuffer;
///
/// let buffer = LineBuffer::default();
/// buffer.add(b"part=config msg=\"version applied\"\n", false);
/// assert_eq!(buffer.dropped_lines(), 0);
/// ```
#[derive(Clone, Default)]
pub struct LineBuffer {
    shared: Arc<(Mutex<BufferState>, Condvar)>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, BufferState> {
        // The buffer remains valid if a thread panicked while it held the lock.
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line, or counts it as dropped if the buffer is full.
    ///
    /// The limit for `is_important` lines (warnings and errors) is higher.
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

    /// Returns the number of lines dropped since the last report.
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped_lines
    }

    /// Starts a thread that writes lines to `output` until the process exits.
    pub fn spawn_writer(&self, mut output: impl Write + Send + 'static) -> io::Result<()> {
        let buffer = self.clone();
        let builder = thread::Builder::new().name("journal".into());
        builder.spawn(move || {
            loop {
                let bytes = buffer.wait_and_take();
                // A failure of standard output cannot be reported.
                let _ = output.write_all(&bytes).and_then(|()| output.flush());
                buffer.lock().is_writing = false;
                buffer.shared.1.notify_all();
                thread::sleep(WRITE_INTERVAL);
            }
        })?;
        Ok(())
    }

    /// Waits for lines and takes them.
    fn wait_and_take(&self) -> Vec<u8> {
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

    /// Waits until all lines are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let state = self.lock();
        let has_unwritten = |state: &mut BufferState| state.is_writing || !state.bytes.is_empty();
        // After the timeout the remaining lines are lost.
        let _ = self
            .shared
            .1
            .wait_timeout_while(state, timeout, has_unwritten);
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

/// Key of the field with the level of a line.
const LEVEL_FIELD: &[u8] = b" level=";
