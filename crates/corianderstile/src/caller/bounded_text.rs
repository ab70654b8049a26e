//! Texts that may repeat what a caller sent, kept to a length.

/// Maximum length in bytes of the text of an error about a caller's input. The JSON decoder
/// repeats a wrong value in full, which can be as long as the body.
pub const MAX_ERROR_BYTES: usize = 200;

/// Returns a copy of the start of a text, at most `limit` bytes and cut between characters.
///
/// ```
/// use corianderstile::bounded_text;
///
/// assert_eq!(bounded_text("aé", 2), "a");
/// assert_eq!(bounded_text("aé", 3), "aé");
/// ```
pub fn bounded_text(text: &str, limit: usize) -> String {
    let mut end = text.len().min(limit);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    // A copy, because a shortened string would keep its memory.
    text[..end].to_owned()
}
