//! Head of a response: its status, its headers, and how its body is framed.

use std::ops::RangeInclusive;

use crate::defect::Defect;

/// Statuses of HTTP.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status of a server that goes on in another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Length of a status line up to the end of its status.
const STATUS_END: usize = "HTTP/1.1 200".len();
/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a response, that of `ureq`.
const MAX_HEADERS: usize = 128;

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

/// Name, in lower case, and value.
pub type Header = (String, Vec<u8>);

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Names, in lower case, and values, which need not be text.
    pub headers: Vec<Header>,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the target closes the connection after the response.
    pub close: bool,
}

impl ResponseHead {
    /// Returns the first value of the header; `name` is in lower case.
    ///
    /// A value that is not UTF-8 is read as a replacement character: it is there, and equals
    /// nothing that is looked for.
    pub fn header(&self, name: &str) -> Option<&str> {
        values(&self.headers, name).next()
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
    let length = head_length(bytes)?;
    let read = length.unwrap_or(bytes.len());
    if read > MAX_HEAD_BYTES {
        return Err(Defect::TooLong);
    }
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    match response.parse(&bytes[..read]) {
        // `httparse` does not ask for the space behind the status (RFC 9112, 4).
        Ok(httparse::Status::Complete(_)) if bytes.get(STATUS_END) != Some(&b' ') => {
            Err(Defect::Head)
        }
        Ok(httparse::Status::Complete(length)) => Ok(Some((build(&response, method)?, length))),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Defect::Head),
    }
}

/// Returns the length of a head, `None` if it is not complete.
///
/// `httparse` ends a line, and the head, at a line feed alone. RFC 9112 (2.2) allows that and does
/// not ask for it; a carriage return that got lost, or a byte that became a line feed, would end
/// the head early, and the rest of it would be taken for the body.
fn head_length(bytes: &[u8]) -> Result<Option<usize>, Defect> {
    let mut start = 0;
    for line in bytes.split_inclusive(|b| *b == b'\n').filter(|line| line.ends_with(b"\n")) {
        match line {
            b"\r\n" if start == 0 => return Err(Defect::LineEnd),
            b"\r\n" => return Ok(Some(start + line.len())),
            [.., b'\r', b'\n'] => start += line.len(),
            _ => return Err(Defect::LineEnd),
        }
    }
    Ok(None)
}

fn build(response: &httparse::Response<'_, '_>, method: &str) -> Result<ResponseHead, Defect> {
    let valid = |status: &u16| STATUSES.contains(status) && *status != SWITCHING_PROTOCOLS;
    let status = response.code.filter(valid).ok_or(Defect::Status)?;
    let mut headers = Vec::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        headers.push((header.name.to_ascii_lowercase(), header.value.to_vec()));
    }
    let http10 = response.version == Some(0);
    let framing = read_framing(&headers, status, http10)?;
    let no_body = method == "HEAD" || status < 200 || matches!(status, 204 | 304);
    let framing = if no_body { Framing::Length(0) } else { framing };
    let has = |option: &str| {
        let mut options = values(&headers, "connection").flat_map(|v| v.split(','));
        options.any(|o| o.trim_matches([' ', '\t']).eq_ignore_ascii_case(option))
    };
    let keeps = has("keep-alive") || values(&headers, "keep-alive").next().is_some();
    if framing == Framing::UntilClose && keeps && !has("close") {
        return Err(Defect::Contradiction);
    }
    let close = has("close") || http10 && !has("keep-alive") || framing == Framing::UntilClose;
    Ok(ResponseHead { status, headers, framing, close })
}

/// Returns the framing that the headers state, also where a response has no body: a head whose
/// framing is broken may be broken elsewhere, too.
fn read_framing(headers: &[Header], status: u16, http10: bool) -> Result<Framing, Defect> {
    let mut codings = values(headers, "transfer-encoding");
    let mut lengths = values(headers, "content-length");
    let stated = (codings.next(), codings.next(), lengths.next(), lengths.next());
    let framing = match stated {
        // HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
        (Some(coding), None, None, None) if coding.eq_ignore_ascii_case("chunked") && !http10 => {
            Framing::Chunked
        }
        (None, None, Some(length), None) => {
            Framing::Length(parse_length(length).ok_or(Defect::Framing)?)
        }
        (None, None, None, None) => Framing::UntilClose,
        _ => return Err(Defect::Framing),
    };
    // Servers send neither a length nor a coding with these (RFC 9110, 8.6, and RFC 9112, 6.1);
    // a length of zero is common and harmless.
    let bare = status < 200 || status == 204;
    if bare && !matches!(framing, Framing::UntilClose | Framing::Length(0)) {
        return Err(Defect::Framing);
    }
    Ok(framing)
}

/// Returns the values of a header.
fn values<'a>(headers: &'a [Header], name: &str) -> impl Iterator<Item = &'a str> {
    let named = headers.iter().filter(move |(n, _)| n == name);
    named.map(|(_, value)| std::str::from_utf8(value).unwrap_or("\u{fffd}"))
}

/// Parses a length, which consists of digits only.
fn parse_length(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}
