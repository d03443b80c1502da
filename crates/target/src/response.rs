//! Head of a response: its status, its headers, and how its body is framed.

use std::ops::RangeInclusive;

/// Statuses of HTTP.
pub(crate) const STATUSES: RangeInclusive<u16> = 100..=599;

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

/// Returns the head of a response; `None` if its status or its framing is invalid.
pub(crate) fn build_head(
    response: &httparse::Response<'_, '_>,
    method: &str,
) -> Option<ResponseHead> {
    let status = response.code.filter(|status| STATUSES.contains(status))?;
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
        _ => return None,
    };
    let connection = find("connection").unwrap_or_default().to_ascii_lowercase();
    let close = connection.contains("close")
        || response.version == Some(0) && !connection.contains("keep-alive")
        || framing == Framing::UntilClose;
    Some(ResponseHead { status, headers, framing, close })
}
