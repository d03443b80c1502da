//! Every single fault in valid responses: the decoder gives what the grammar of RFC 9112 gives, or
//! an error.
//!
//! The oracle is written from the RFC: it gives the status, the fields and the body of a complete
//! response, or nothing.

use mimosapass_http::decoder::{BodyPart, Decoder};
use mimosapass_http::response::ResponseHead;
use rstest::rstest;

/// Of this many responses one is given to the decoder byte by byte, too.
const TRICKLE_INTERVAL: usize = 61;
/// Failures that are shown.
const MAX_SHOWN: usize = 20;

/// A complete response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Whole {
    status: u16,
    fields: Vec<(Vec<u8>, Vec<u8>)>,
    body: Vec<u8>,
    /// Bytes behind it.
    surplus: usize,
}

/// Reads what the grammar allows.
mod oracle {
    use super::Whole;

    struct Head {
        minor: u8,
        status: u16,
        fields: Vec<(Vec<u8>, Vec<u8>)>,
    }

    fn is_tchar(byte: u8) -> bool {
        byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
    }

    /// HTAB, SP, VCHAR or obs-text.
    fn is_text(byte: u8) -> bool {
        matches!(byte, b'\t' | b' '..=b'~' | 0x80..)
    }

    fn trim_ows(text: &[u8]) -> &[u8] {
        let is_blank = |b: &u8| matches!(b, b' ' | b'\t');
        let start = text.iter().position(|b| !is_blank(b)).unwrap_or(text.len());
        let end = text.iter().rposition(|b| !is_blank(b)).map_or(start, |at| at + 1);
        &text[start..end]
    }

    /// Takes a line and its CRLF.
    fn line<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
        let at = bytes.windows(2).position(|w| w == b"\r\n")?;
        let (line, rest) = (&bytes[..at], &bytes[at + 2..]);
        *bytes = rest;
        Some(line)
    }

    fn field(line: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
        let colon = line.iter().position(|b| *b == b':')?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        let valid = !name.is_empty() && name.iter().copied().all(is_tchar);
        let valid = valid && value.iter().copied().all(is_text);
        valid.then(|| (name.to_ascii_lowercase(), trim_ows(value).to_vec()))
    }

    fn fields(bytes: &mut &[u8]) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
        let mut fields = Vec::new();
        loop {
            match line(bytes)? {
                b"" => return Some(fields),
                line => fields.push(field(line)?),
            }
        }
    }

    fn head(bytes: &mut &[u8]) -> Option<Head> {
        let line = line(bytes)?;
        let minor = match line.get(..9)? {
            b"HTTP/1.0 " => 0,
            b"HTTP/1.1 " => 1,
            _ => return None,
        };
        let digits = line.get(9..12).filter(|d| d.iter().all(u8::is_ascii_digit))?;
        let status = std::str::from_utf8(digits).ok()?.parse().ok()?;
        let valid = line.get(12) == Some(&b' ') && line[13..].iter().copied().all(is_text);
        let valid = valid && (100..600).contains(&status);
        valid.then_some(Head { minor, status, fields: fields(bytes)? })
    }

    /// Returns the values of a field.
    fn values<'a>(head: &'a Head, name: &[u8]) -> Vec<&'a [u8]> {
        head.fields.iter().filter(|(n, _)| n == name).map(|(_, v)| v.as_slice()).collect()
    }

    enum Framing {
        Nothing,
        Length(u64),
        Chunks,
        Close,
    }

    fn length(value: &[u8]) -> Option<u64> {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let digit = |sum: u64, d: &u8| sum.checked_mul(10)?.checked_add(u64::from(d - b'0'));
        digits.then(|| value.iter().try_fold(0, digit)).flatten()
    }

    fn framing(head: &Head, method: &str) -> Option<Framing> {
        // No request asks for another protocol (RFC 9110, 15.2.2).
        if head.status == 101 {
            return None;
        }
        let framing =
            match (&*values(head, b"transfer-encoding"), &*values(head, b"content-length")) {
                ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") && head.minor == 1 => {
                    Framing::Chunks
                }
                ([], [value]) => Framing::Length(length(value)?),
                ([], []) => Framing::Close,
                _ => return None,
            };
        // A server sends no length and no coding with these (RFC 9110, 8.6, and RFC 9112, 6.1).
        let bare = head.status < 200 || head.status == 204;
        if bare && !matches!(framing, Framing::Close | Framing::Length(0)) {
            return None;
        }
        if bare || head.status == 304 || method == "HEAD" {
            return Some(Framing::Nothing);
        }
        // The end of a connection that is kept open ends no body (RFC 9112, 6.3 and 9.3).
        let options = values(head, b"connection");
        let has = |option: &[u8]| {
            let mut options = options.iter().flat_map(|v| v.split(|b| *b == b','));
            options.any(|o| trim_ows(o).eq_ignore_ascii_case(option))
        };
        let kept = has(b"keep-alive") || !values(head, b"keep-alive").is_empty();
        let contradicts = matches!(framing, Framing::Close) && kept && !has(b"close");
        (!contradicts).then_some(framing)
    }

    fn token<'a>(text: &mut &'a [u8]) -> Option<&'a [u8]> {
        let end = text.iter().position(|b| !is_tchar(*b)).unwrap_or(text.len());
        let (token, rest) = text.split_at(end);
        *text = rest;
        (!token.is_empty()).then_some(token)
    }

    fn skip_blanks(text: &mut &[u8]) {
        while let [b' ' | b'\t', rest @ ..] = text {
            *text = rest;
        }
    }

    fn quoted(text: &mut &[u8]) -> Option<()> {
        loop {
            match *text {
                [b'"', rest @ ..] => {
                    *text = rest;
                    return Some(());
                }
                [b'\\', byte, rest @ ..] if is_text(*byte) => *text = rest,
                [byte, rest @ ..] if *byte != b'\\' && is_text(*byte) => *text = rest,
                _ => return None,
            }
        }
    }

    /// Parses the size of a chunk and its extensions.
    fn size(line: &[u8]) -> Option<u64> {
        let end = line.iter().position(|b| !b.is_ascii_hexdigit()).unwrap_or(line.len());
        let (digits, mut rest) = line.split_at(end);
        let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        while !rest.is_empty() {
            skip_blanks(&mut rest);
            rest = rest.strip_prefix(b";")?;
            skip_blanks(&mut rest);
            token(&mut rest)?;
            let mut value = rest;
            skip_blanks(&mut value);
            if let Some(after) = value.strip_prefix(b"=") {
                rest = after;
                skip_blanks(&mut rest);
                match rest.strip_prefix(b"\"") {
                    Some(text) => {
                        rest = text;
                        quoted(&mut rest)?;
                    }
                    None => drop(token(&mut rest)?),
                }
            }
        }
        Some(size)
    }

    fn chunks(bytes: &mut &[u8]) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = size(line(bytes)?)?;
            if size == 0 {
                fields(bytes)?;
                return Some(body);
            }
            let size = usize::try_from(size).ok()?;
            body.extend_from_slice(bytes.get(..size)?);
            *bytes = bytes[size..].strip_prefix(b"\r\n")?;
        }
    }

    /// Returns the response at the start of what arrives until the connection is closed or kept.
    pub fn read(mut bytes: &[u8], method: &str, closed: bool) -> Option<Whole> {
        loop {
            let head = head(&mut bytes)?;
            let body = match framing(&head, method)? {
                Framing::Nothing => Vec::new(),
                Framing::Length(length) => {
                    let length = usize::try_from(length).ok()?;
                    let body = bytes.get(..length)?.to_vec();
                    bytes = &bytes[length..];
                    body
                }
                Framing::Chunks => chunks(&mut bytes)?,
                Framing::Close if closed => std::mem::take(&mut bytes).to_vec(),
                Framing::Close => return None,
            };
            if head.status >= 200 {
                let Head { status, fields, .. } = head;
                return Some(Whole { status, fields, body, surplus: bytes.len() });
            }
        }
    }
}

/// Reads a response with the decoder; `None` if it is malformed, or not complete.
fn decode<'a>(
    mut parts: impl Iterator<Item = &'a [u8]>,
    method: &str,
    closed: bool,
) -> Option<Whole> {
    let (mut decoder, mut head, mut body) = (Decoder::default(), None, Vec::new());
    let mut ended = false;
    loop {
        if head.is_none() {
            head = decoder.parse_head(method).ok()?;
        }
        if let Some(head) = &mut head
            && take_body(&mut decoder, head, &mut body)?
        {
            // What was not pushed yet is behind the response as well.
            let surplus = decoder.buffered() + parts.map(<[u8]>::len).sum::<usize>();
            let fields = head.headers.iter().map(|(n, v)| (n.clone().into(), v.clone())).collect();
            return Some(Whole { status: head.status, fields, body, surplus });
        }
        match parts.next() {
            Some(part) => decoder.push(part),
            None if closed && !ended => {
                ended = true;
                decoder.close();
            }
            None => return None,
        }
    }
}

/// Takes what has arrived of a body; returns whether it is complete, `None` if it is malformed.
fn take_body(decoder: &mut Decoder, head: &mut ResponseHead, body: &mut Vec<u8>) -> Option<bool> {
    loop {
        match decoder.next_part(&mut head.framing).ok()? {
            BodyPart::Data(data) => body.extend(data),
            BodyPart::NeedMore => return Some(false),
            BodyPart::End => return Some(true),
        }
    }
}

/// Compares decoder and oracle, for a connection that is closed and for one that is kept.
fn check(bytes: &[u8], at: usize, method: &str, trickle: bool, failures: &mut Vec<String>) {
    for closed in [true, false] {
        let wanted = oracle::read(bytes, method, closed);
        let (first, last) = bytes.split_at(at.min(bytes.len()));
        let mut decoded = vec![
            decode(std::iter::once(bytes), method, closed),
            decode([first, last].into_iter(), method, closed),
        ];
        if trickle {
            decoded.push(decode(bytes.chunks(1), method, closed));
        }
        if decoded.iter().any(|d| *d != wanted) {
            let text = bytes.escape_ascii();
            failures.push(format!("closed {closed}: {text}\n  wanted {wanted:?}\n  {decoded:?}"));
        }
    }
}

/// Calls `visit` with each response that differs from `bytes` by one fault, and its place.
fn mutate(bytes: &[u8], mut visit: impl FnMut(&[u8], usize)) {
    let mut changed = bytes.to_vec();
    for at in 0..bytes.len() {
        for byte in 0..=u8::MAX {
            changed[at] = byte;
            visit(&changed, at);
        }
        changed[at] = bytes[at];
    }
    for at in 0..=bytes.len() {
        let (first, last) = bytes.split_at(at);
        for byte in 0..=u8::MAX {
            visit(&[first, &[byte], last].concat(), at);
        }
        visit(first, at);
        if let [_, rest @ ..] = last {
            visit(&[first, rest].concat(), at);
        }
    }
    let lines: Vec<&[u8]> = bytes.split_inclusive(|b| *b == b'\n').collect();
    for number in 0..lines.len() {
        let (first, last) = (lines[..number].concat(), lines[number + 1..].concat());
        let line = lines[number];
        visit(&[first.as_slice(), &last].concat(), first.len());
        visit(&[first.as_slice(), line, line, &last].concat(), first.len());
        for other in &lines {
            visit(&[first.as_slice(), other, line, &last].concat(), first.len());
        }
    }
}

const LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: 3e1b.07\r\n\
     Content-Length: 20\r\nKeep-Alive: timeout=5\r\n\r\nid: 1\ndata: \r\n\r\n01\n\n";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nX-Server-Seal: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n\
     a\r\nid: 1\r\n\r\n0\r\n0B;a=b ; c = \"d;\\\"\" ;e\r\n0\r\n\r\ndata\n\n\r\n0\r\nX-T: t\r\n\r\n";
const UNTIL_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nX-Server-Seal: 3e1b\r\nConnection: close\r\n\r\nbody\r\n";
const OLD: &str = "HTTP/1.0 200 \r\nConnection: keep-alive, x\r\nContent-Length: 4\r\n\r\nbody";
const NO_CONTENT: &str =
    "HTTP/1.1 204 No Content\r\nX-Server-Seal: 3e1b\r\nContent-Length: 0\r\n\r\n";
const UNCHANGED: &str = "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\nContent-Length: 20\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 0.5\r\n\
     Content-Length: 2\r\n\r\nno";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
     HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Guards against a body or a field that a target did not send, and a response that is none.
#[rstest]
fn response_with_a_fault_is_read_as_its_grammar_says(
    #[values(LENGTH, CHUNKS, UNTIL_CLOSE, OLD, NO_CONTENT, UNCHANGED, REFUSAL, INTERIM)]
    sound: &str,
    #[values("POST", "HEAD")] method: &str,
) {
    assert!(oracle::read(sound.as_bytes(), method, true).is_some(), "it is valid");
    let (mut failures, mut count) = (Vec::new(), 0);
    mutate(sound.as_bytes(), |bytes, at| {
        count += 1;
        check(bytes, at, method, count % TRICKLE_INTERVAL == 0, &mut failures);
    });
    println!("{count} responses, {} read otherwise than the grammar says", failures.len());
    let shown = failures.iter().take(MAX_SHOWN).cloned().collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{} of {count}\n{shown}", failures.len());
}

/// Guards against sound responses that are malformed for the number of their headers.
#[rstest]
#[case::most(128, true)]
#[case::too_many(129, false)]
fn number_of_headers_is_bounded(#[case] count: usize, #[case] sound: bool) {
    let others = "x: y\r\n".repeat(count - 1);
    let response = format!("HTTP/1.1 200 OK\r\n{others}content-length: 2\r\n\r\nok");
    let whole = decode(std::iter::once(response.as_bytes()), "GET", false);
    assert_eq!(whole.map(|whole| whole.fields.len()), sound.then_some(count));
}

/// Guards against bounds that hold or not by how the bytes arrive.
#[rstest]
fn bounds_do_not_depend_on_how_bytes_arrive(
    #[values(("1;", 256, "\r\nx\r\n0\r\n\r\n"), ("1\r\nx\r\n0\r\nx:", 16 * 1024, "\r\n\r\n"))]
    (start, bound, end): (&str, usize, &str),
) {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut accepted = Vec::new();
    for length in bound - 8..bound + 4 {
        let response = format!("{head}{start}{}{end}", "a".repeat(length));
        let bytes = response.as_bytes();
        let whole = decode(std::iter::once(bytes), "GET", false);
        assert_eq!(decode(bytes.chunks(1), "GET", false), whole, "{length}");
        accepted.push(whole.is_some());
    }
    assert!(accepted[0] && !accepted[11], "{accepted:?}");
}
