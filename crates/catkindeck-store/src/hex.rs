//! Hexadecimal encoding, in which JSON carries the values of the key-value service.

use std::fmt::Write;

/// Encodes bytes as lower-case hexadecimal digits.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decodes hexadecimal digits, or returns `None` if the text is malformed.
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?))
        .collect()
}

fn digit(character: u8) -> Option<u8> {
    let value = char::from(character).to_digit(16)?;
    u8::try_from(value).ok()
}
