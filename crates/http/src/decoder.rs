//! Decoder of the responses on one connection.

use std::fmt;

use crate::chunks::{ChunkDecoder, ChunkPart};
use crate::defect::Defect;
use crate::response::{Framing, ResponseHead, parse};

/// Maximum size of the interim responses before a response.
const MAX_INTERIM_BYTES: usize = 64 * 1024;

/// Why a response could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The connection ended or was reset before the response was complete.
    Truncated,
    /// The bytes are not a valid HTTP response.
    Malformed(Defect),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the connection ended within the response"),
            Self::Malformed(defect) => write!(f, "the response is malformed: {defect}"),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<Defect> for ReadError {
    fn from(defect: Defect) -> Self {
        Self::Malformed(defect)
    }
}

/// Outcome of taking the next part of a response body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Vec<u8>),
    /// More data has to be read first.
    NeedMore,
    /// The body is complete.
    End,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    /// It broke, so that its end is not that of a response.
    Broken,
}

/// Decoder of the responses on one connection.
#[derive(Debug, Default)]
pub struct Decoder {
    buffered: Vec<u8>,
    chunks: ChunkDecoder,
    /// Bytes of the interim responses that were discarded.
    interim_bytes: usize,
    end: Option<End>,
}

impl Decoder {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// Records that the connection was closed.
    pub fn close(&mut self) {
        self.end.get_or_insert(End::Closed);
    }

    /// Records that the connection broke.
    pub fn break_off(&mut self) {
        self.end = Some(End::Broken);
    }

    /// Returns the number of bytes that were received and not taken.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }

    /// Returns whether nothing was received that belongs to no response.
    pub fn is_idle(&self) -> bool {
        self.buffered.is_empty() && self.end.is_none()
    }

    /// Parses the head of a response; `None` if more data has to be read.
    ///
    /// Interim responses are skipped. `method` is that of the request.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a response, or end within the head.
    pub fn parse_head(&mut self, method: &str) -> Result<Option<ResponseHead>, ReadError> {
        loop {
            let Some((head, length)) = parse(&self.buffered, method)? else {
                return if self.end.is_some() { Err(ReadError::Truncated) } else { Ok(None) };
            };
            self.buffered.drain(..length);
            self.chunks = ChunkDecoder::default();
            // Interim responses have no body and are followed by another head.
            if head.status >= 200 {
                self.interim_bytes = 0;
                return Ok(Some(head));
            }
            self.interim_bytes += length;
            if self.interim_bytes > MAX_INTERIM_BYTES {
                return Err(Defect::TooLong.into());
            }
        }
    }

    /// Takes the next part of the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated or its framing is malformed.
    pub fn next_part(&mut self, framing: &mut Framing) -> Result<BodyPart, ReadError> {
        match framing {
            Framing::Length(0) => Ok(BodyPart::End),
            Framing::Length(left) => {
                let taken = (*left).min(self.buffered.len() as u64) as usize;
                *left -= taken as u64;
                self.take(taken)
            }
            Framing::Chunked => self.decode_chunks(),
            Framing::UntilClose if !self.buffered.is_empty() => self.take(self.buffered.len()),
            Framing::UntilClose => match self.end {
                Some(End::Broken) => Err(ReadError::Truncated),
                Some(End::Closed) => Ok(BodyPart::End),
                None => Ok(BodyPart::NeedMore),
            },
        }
    }

    fn take(&mut self, bytes: usize) -> Result<BodyPart, ReadError> {
        match bytes {
            0 if self.end.is_some() => Err(ReadError::Truncated),
            0 => Ok(BodyPart::NeedMore),
            _ => Ok(BodyPart::Data(self.buffered.drain(..bytes).collect())),
        }
    }

    fn decode_chunks(&mut self) -> Result<BodyPart, ReadError> {
        let mut data = Vec::new();
        // What is decoded is removed from the buffer at the end: a buffer may have thousands
        // of short chunks.
        let mut at = 0;
        let ended = loop {
            match self.chunks.next(&self.buffered[at..]) {
                // Data is returned first; the next call finds the defect or the end again.
                Ok(ChunkPart::End(_)) | Err(_) if !data.is_empty() => break false,
                Err(defect) => return Err(defect.into()),
                Ok(ChunkPart::Data(bytes)) => {
                    data.extend_from_slice(&self.buffered[at..at + bytes]);
                    at += bytes;
                }
                Ok(ChunkPart::Framing(bytes)) => at += bytes,
                Ok(ChunkPart::End(bytes)) => {
                    at += bytes;
                    break true;
                }
                Ok(ChunkPart::NeedMore) => break false,
            }
        };
        self.buffered.drain(..at);
        match data.is_empty() {
            _ if ended => Ok(BodyPart::End),
            false => Ok(BodyPart::Data(data)),
            true if self.end.is_some() => Err(ReadError::Truncated),
            true => Ok(BodyPart::NeedMore),
        }
    }
}
