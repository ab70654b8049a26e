//! Shorter form of the bodies of frames: their length and the body, compressed by deflate.

use std::cell::RefCell;

use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};

use crate::DecodeError;
use crate::frame_codec::MAX_FRAME_LENGTH;

/// Length from which a body is compressed. Below it the tables of the code take what it saves.
const MIN_LENGTH: usize = 256;

thread_local! {
    /// Kept between frames, since the tables are hundreds of kilobytes.
    static STATE: RefCell<Option<Box<(Compress, Decompress)>>> = const { RefCell::new(None) };
}

fn with_state<T>(use_state: impl FnOnce(&mut Compress, &mut Decompress) -> T) -> T {
    STATE.with_borrow_mut(|state| {
        let state = state.get_or_insert_with(|| {
            let compress = Compress::new(Compression::fast(), false);
            Box::new((compress, Decompress::new(false)))
        });
        use_state(&mut state.0, &mut state.1)
    })
}

/// Returns the shorter form of a body; `None` if there is none.
pub(crate) fn shorten(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < MIN_LENGTH {
        return None;
    }
    let length = u32::try_from(body.len()).ok()?;
    let mut short = Vec::with_capacity(body.len());
    short.extend_from_slice(&length.to_be_bytes());
    let status = with_state(|compress, _| {
        compress.reset();
        compress.compress_vec(body, &mut short, FlushCompress::Finish)
    });
    // The output may not grow beyond its capacity, the length of the body.
    matches!(status, Ok(Status::StreamEnd)).then_some(short)
}

/// Returns the body of a shorter form.
pub(crate) fn restore(short: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let Some((length, compressed)) = short.split_first_chunk::<4>() else {
        return Err(DecodeError::Malformed);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_LENGTH {
        let max_length = MAX_FRAME_LENGTH;
        return Err(DecodeError::TooLong { length, max_length });
    }
    let mut body = Vec::with_capacity(length);
    let status = with_state(|_, decompress| {
        decompress.reset(false);
        decompress.decompress_vec(compressed, &mut body, FlushDecompress::Finish)
    });
    let is_whole = matches!(status, Ok(Status::StreamEnd)) && body.len() == length;
    is_whole.then_some(body).ok_or(DecodeError::Malformed)
}
