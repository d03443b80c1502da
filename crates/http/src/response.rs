//! Head of a response: its status, its headers, and how its body is framed.

use std::ops::RangeInclusive;

use crate::defect::Defect;

/// Statuses of HTTP.
pub const STATUSES: RangeInclusive<u16> = 100..=599;
/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;

/// How a response body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Number of bytes that are left.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The end of the connection ends the body.
    UntilClose,
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the target closes the connection after the response.
    pub close: bool,
}

impl ResponseHead {
    /// Returns the first value of the header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Parses the head at the start of `bytes`; returns it with its length in bytes.
///
/// `None` if more bytes are needed. `method` is that of the request.
///
/// # Errors
///
/// Fails when the bytes are no head of a response, also when it is not complete yet.
pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(ResponseHead, usize)>, Defect> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => Ok(Some((build(&response, method)?, length))),
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD_BYTES => Err(Defect::TooLong),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Defect::Head),
    }
}

fn build(response: &httparse::Response<'_, '_>, method: &str) -> Result<ResponseHead, Defect> {
    let status = response.code.filter(|status| STATUSES.contains(status)).ok_or(Defect::Status)?;
    let mut headers = Vec::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        headers.push((header.name.to_ascii_lowercase(), value));
    }
    let find = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
    let coding = find("transfer-encoding");
    let values = headers.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v);
    let mut lengths = values.map(|v| v.parse::<u64>());
    let framing = match (coding, lengths.next(), lengths.next()) {
        _ if method == "HEAD" || status < 200 || matches!(status, 204 | 304) => Framing::Length(0),
        (Some(v), None, None) if v.eq_ignore_ascii_case("chunked") => Framing::Chunked,
        (None, Some(Ok(length)), None) => Framing::Length(length),
        (None, None, None) => Framing::UntilClose,
        _ => return Err(Defect::Framing),
    };
    let connection = find("connection").unwrap_or_default().to_ascii_lowercase();
    let close = connection.contains("close")
        || response.version == Some(0) && !connection.contains("keep-alive")
        || framing == Framing::UntilClose;
    Ok(ResponseHead { status, headers, framing, close })
}
