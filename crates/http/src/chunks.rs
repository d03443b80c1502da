//! Decoder of the chunked transfer coding.

use crate::defect::Defect;

/// End of a line.
const CRLF: &[u8] = b"\r\n";
/// Maximum length of the line with a chunk's size, with its end.
const MAX_LINE_BYTES: usize = 256;
/// Maximum size of a chunked body's trailer.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// What the next bytes of a chunked body are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkPart {
    /// This many bytes of the body.
    Data(usize),
    /// This many bytes of framing.
    Framing(usize),
    /// As above, and they end the body.
    End(usize),
    /// Too few to tell.
    NeedMore,
}

/// What is decoded next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    /// The trailer, of which this many bytes were discarded.
    Trailer(usize),
}

/// Position in a chunked body.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ChunkDecoder {
    state: State,
}

impl ChunkDecoder {
    /// Tells what the first of `bytes` are, and moves on behind them.
    ///
    /// An end and a defect are found again by the next call.
    pub(crate) fn next(&mut self, bytes: &[u8]) -> Result<ChunkPart, Defect> {
        match self.state {
            State::Size => self.next_size(bytes),
            State::Data(_) if bytes.is_empty() => Ok(ChunkPart::NeedMore),
            State::Data(left) => {
                let taken = left.min(bytes.len() as u64);
                let left = left - taken;
                self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                Ok(ChunkPart::Data(taken as usize))
            }
            State::DataEnd => match bytes.get(..2) {
                Some(b"\r\n") => {
                    self.state = State::Size;
                    Ok(ChunkPart::Framing(2))
                }
                Some(_) => Err(Defect::Chunk),
                None => Ok(ChunkPart::NeedMore),
            },
            State::Trailer(read) => self.next_trailer(bytes, read),
        }
    }

    /// Parses the line with the size of a chunk (RFC 9112, 7.1).
    ///
    /// `httparse` takes a line without a digit for a size of zero, which ends the body, and any
    /// bytes for an extension.
    fn next_size(&mut self, bytes: &[u8]) -> Result<ChunkPart, Defect> {
        match bytes.first() {
            Some(first) if !first.is_ascii_hexdigit() => return Err(Defect::Chunk),
            Some(_) => {}
            None => return Ok(ChunkPart::NeedMore),
        }
        let (length, size) = match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((length, _))) if length > MAX_LINE_BYTES => {
                return Err(Defect::TooLong);
            }
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if bytes.len() < MAX_LINE_BYTES => {
                return Ok(ChunkPart::NeedMore);
            }
            Ok(httparse::Status::Partial) => return Err(Defect::TooLong),
            Err(_) => return Err(Defect::Chunk),
        };
        let line = &bytes[..length - CRLF.len()];
        let digits = line.iter().position(|b| !b.is_ascii_hexdigit());
        if digits.is_some_and(|digits| !are_extensions(&line[digits..])) {
            return Err(Defect::Chunk);
        }
        self.state = if size == 0 { State::Trailer(0) } else { State::Data(size) };
        Ok(ChunkPart::Framing(length))
    }

    fn next_trailer(&mut self, bytes: &[u8], read: usize) -> Result<ChunkPart, Defect> {
        let line = take_line(bytes)?;
        // A line that is not complete has at least one more byte.
        let length = line.map_or(bytes.len() + 1, |line| line.len() + CRLF.len());
        if read + length > MAX_TRAILER_BYTES {
            return Err(Defect::TooLong);
        }
        match line {
            None => Ok(ChunkPart::NeedMore),
            Some([]) => Ok(ChunkPart::End(length)),
            Some(line) if is_field(line) => {
                self.state = State::Trailer(read + length);
                Ok(ChunkPart::Framing(length))
            }
            Some(_) => Err(Defect::Trailer),
        }
    }
}

/// Returns the line at the start of a trailer without its CRLF; `None` if it is not complete.
fn take_line(bytes: &[u8]) -> Result<Option<&[u8]>, Defect> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else { return Ok(None) };
    bytes[..end].strip_suffix(b"\r").map(Some).ok_or(Defect::Trailer)
}

/// Returns whether a line of a trailer is a field.
fn is_field(line: &[u8]) -> bool {
    let mut slots = [httparse::EMPTY_HEADER; 1];
    let section = [line, CRLF, CRLF].concat();
    matches!(httparse::parse_headers(&section, &mut slots), Ok(httparse::Status::Complete(_)))
}

/// Returns whether a text is any number of `;name`, `;name=token` or `;name="text"`.
fn are_extensions(mut text: &[u8]) -> bool {
    while !text.is_empty() {
        let Some(rest) = skip_blanks(text).strip_prefix(b";") else { return false };
        let Some(rest) = skip_token(skip_blanks(rest)) else { return false };
        text = match skip_blanks(rest).strip_prefix(b"=").map(skip_blanks) {
            None => rest,
            Some(value) => match skip_quoted(value).or_else(|| skip_token(value)) {
                Some(rest) => rest,
                None => return false,
            },
        };
    }
    true
}

fn skip_blanks(text: &[u8]) -> &[u8] {
    let blanks = text.iter().take_while(|b| matches!(b, b' ' | b'\t')).count();
    &text[blanks..]
}

fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let is_token = |b: &&u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    let length = text.iter().take_while(is_token).count();
    (length > 0).then(|| &text[length..])
}

fn skip_quoted(text: &[u8]) -> Option<&[u8]> {
    let is_text = |b: u8| matches!(b, b'\t' | b' '..=b'~' | 0x80..);
    let mut rest = text.strip_prefix(b"\"")?;
    loop {
        rest = match rest {
            [b'"', rest @ ..] => return Some(rest),
            [b'\\', byte, rest @ ..] if is_text(*byte) => rest,
            [byte, rest @ ..] if *byte != b'\\' && is_text(*byte) => rest,
            _ => return None,
        };
    }
}
