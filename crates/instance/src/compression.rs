//! Compression of texts with zlib; a configuration shrinks to a tenth or less.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Compresses a text.
///
/// # Errors
///
/// Fails if writing to memory fails, which it never does.
pub fn compress(text: &str) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text.as_bytes())?;
    encoder.finish().map(Bytes::from)
}

/// Decompresses a text.
///
/// # Errors
///
/// Fails when the data is corrupt, the text is not UTF-8, or it is longer than
/// `max_bytes`.
pub fn decompress(compressed: &[u8], max_bytes: usize) -> io::Result<String> {
    let mut text = String::new();
    let limit = max_bytes as u64 + 1;
    ZlibDecoder::new(compressed).take(limit).read_to_string(&mut text)?;
    if text.len() > max_bytes { Err(io::ErrorKind::FileTooLarge.into()) } else { Ok(text) }
}
