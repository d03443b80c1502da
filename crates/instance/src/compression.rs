//! Texts in compressed form; a configuration shrinks to a tenth or less.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Compresses a text.
///
/// # Errors
///
/// Fails as writing to memory does, which is never.
pub fn compress(text: &str) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text.as_bytes())?;
    encoder.finish().map(Bytes::from)
}

/// Returns the text that was packed.
///
/// # Errors
///
/// Fails when it is broken, no text, or longer than `longest` bytes.
pub fn decompress(packed: &[u8], longest: usize) -> io::Result<String> {
    let mut text = String::new();
    let most = longest as u64 + 1;
    ZlibDecoder::new(packed).take(most).read_to_string(&mut text)?;
    if text.len() > longest { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(text) }
}
