//! Parser for the head of an HTTP request.

/// Maximum number of headers in one request.
const MAX_HEADERS: usize = 64;

/// Parsed head of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// Method, in upper case.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// Query without its question mark; empty for none.
    pub query: String,
    /// Path and query as received.
    pub target: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Whether the request uses HTTP/1.0.
    pub http10: bool,
}

impl Head {
    /// Returns the first value of the header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns whether the caller wants the connection closed after the response.
    pub fn wants_close(&self) -> bool {
        let connection = self.header("connection").unwrap_or_default().to_ascii_lowercase();
        connection.contains("close") || (self.http10 && !connection.contains("keep-alive"))
    }

    /// Returns how the body is framed, or `None` if the headers are ambiguous.
    pub fn framing(&self) -> Option<Framing> {
        let mut codings = self.headers.iter().filter(|(n, _)| n == "transfer-encoding");
        let coding = codings.next().map(|(_, v)| v);
        if codings.next().is_some() {
            return None;
        }
        let values = self.headers.iter().filter(|(n, _)| n == "content-length");
        let mut lengths = values.map(|(_, v)| parse_length(v));
        match (coding, lengths.next(), lengths.next()) {
            (Some(v), None, None) if v.eq_ignore_ascii_case("chunked") && !self.http10 => {
                Some(Framing::Chunked)
            }
            (None, Some(Some(length)), None) => Some(Framing::Length(length)),
            (None, None, None) => Some(Framing::Length(0)),
            _ => None,
        }
    }
}

/// Parses a length that consists of digits only.
fn parse_length(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Outcome of parsing the bytes read so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Parsed {
    /// A complete head and its length in bytes.
    Complete(Head, usize),
    /// More bytes are needed.
    Partial,
    /// There are too many headers.
    TooManyHeaders,
    /// The bytes are not an HTTP request.
    Malformed,
}

/// Parses a request head.
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut slots);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => build(&request, length),
        Ok(httparse::Status::Partial) => Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => Parsed::TooManyHeaders,
        Err(_) => Parsed::Malformed,
    }
}

fn build(request: &httparse::Request<'_, '_>, length: usize) -> Parsed {
    let target = request.path.unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = request.headers.iter().map(to_text).collect::<Option<Vec<_>>>();
    let Some(headers) = headers else { return Parsed::Malformed };
    let head = Head {
        method: request.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        target: target.to_owned(),
        headers,
        http10: request.version == Some(0),
    };
    Parsed::Complete(head, length)
}

fn to_text(header: &httparse::Header<'_>) -> Option<(String, String)> {
    let value = std::str::from_utf8(header.value).ok()?;
    Some((header.name.to_ascii_lowercase(), value.trim().to_owned()))
}
