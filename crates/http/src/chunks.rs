//! Decoder of the chunked transfer coding.

use crate::defect::Defect;

/// Maximum length of the line with a chunk's size.
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

    fn next_size(&mut self, bytes: &[u8]) -> Result<ChunkPart, Defect> {
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((line, size))) => {
                self.state = if size == 0 { State::Trailer(0) } else { State::Data(size) };
                Ok(ChunkPart::Framing(line))
            }
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_LINE_BYTES => {
                Ok(ChunkPart::NeedMore)
            }
            Ok(httparse::Status::Partial) | Err(_) => Err(Defect::Chunk),
        }
    }

    fn next_trailer(&mut self, bytes: &[u8], read: usize) -> Result<ChunkPart, Defect> {
        match bytes.windows(2).position(|w| w == b"\r\n") {
            Some(0) => Ok(ChunkPart::End(2)),
            Some(line) if read + line < MAX_TRAILER_BYTES => {
                self.state = State::Trailer(read + line + 2);
                Ok(ChunkPart::Framing(line + 2))
            }
            None if read + bytes.len() < MAX_TRAILER_BYTES => Ok(ChunkPart::NeedMore),
            Some(_) | None => Err(Defect::TooLong),
        }
    }
}
