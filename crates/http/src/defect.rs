//! Why bytes are no valid response.

use std::fmt;

/// What makes a response malformed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    /// The size of a chunk cannot be read, or its data does not end where its size says.
    Chunk,
    /// The connection is kept, and its end is that of the body.
    Contradiction,
    /// The fields do not tell how the body is framed.
    Framing,
    /// The head has no valid status line, or a line that is no field.
    Head,
    /// A line of the head does not end in CRLF, or is empty where none may be.
    LineEnd,
    /// The status is outside 100 to 599, or the target changes the protocol.
    Status,
    /// A part exceeds its maximum size.
    TooLong,
    /// The trailer has a line that is no field.
    Trailer,
}

impl Defect {
    /// Returns the defect as a label of metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Chunk => "chunk",
            Self::Contradiction => "contradiction",
            Self::Framing => "framing",
            Self::Head => "head",
            Self::LineEnd => "line_end",
            Self::Status => "status",
            Self::TooLong => "too_long",
            Self::Trailer => "trailer",
        }
    }
}

impl std::error::Error for Defect {}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chunk => "a chunk of the body has no valid size or end",
            Self::Contradiction => "only the end of a kept connection would end the body",
            Self::Framing => "the head does not tell how the body is framed",
            Self::Head => "the head has a line that is not valid",
            Self::LineEnd => "a line of the head has no valid end",
            Self::Status => "the status does not answer a request",
            Self::TooLong => "a part is larger than allowed",
            Self::Trailer => "the trailer has a line that is not valid",
        })
    }
}
