//! Responses with one fault in their head or their framing.

/// Returns responses with a fault in their head, in which a reader that does not notice it finds
/// the body or a part of it.
pub fn broken_heads(status: &str, body: &str) -> Vec<String> {
    let length = body.len();
    let fields = [
        format!("content-length: +{length}\r\n"),
        format!("content-length: {length}\u{a0}\r\n"),
        format!("content-length: \u{2003}{length}\r\n"),
        format!("content-length: {length}, {length}\r\n"),
        format!("content-length: {length}\r\ncontent-length: {}\r\n", length + 1),
        format!("content-length: {length}\n"),
        format!("x-a: a\nx-b: b\r\ncontent-length: {length}\r\n"),
        format!("x a: a\r\ncontent-length: {length}\r\n"),
        format!("x\0a: a\r\ncontent-length: {length}\r\n"),
        format!("garbage\r\ncontent-length: {length}\r\n"),
        format!(": a\r\ncontent-length: {length}\r\n"),
        "transfer-encoding: chunke\r\n".to_owned(),
        "keep-alive: timeout=10\r\n".to_owned(),
    ];
    let fields = fields.iter().map(|fields| format!("HTTP/1.1 {status}\r\n{fields}\r\n{body}"));
    let codings = [
        "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n".to_owned(),
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n".to_owned(),
        format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n"),
        "transfer-encoding: \u{a0}chunked\r\n".to_owned(),
    ];
    let codings = codings.iter().map(|fields| {
        format!("HTTP/1.1 {status}\r\n{fields}\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
    });
    let lines = [
        format!("HTTP/1.1 {status}\ncontent-length: {length}\n\n{body}"),
        format!("HTTP/1.1 103 Hints\r\ncontent-length: 5\r\n\r\nHTTP/1.1 {status}\r\n\r\n{body}"),
        format!("\r\nHTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"),
    ];
    fields.chain(codings).chain(lines).collect()
}

/// As [`broken_heads`], with a fault in a body in chunks.
pub fn broken_chunks(status: &str, body: &str) -> Vec<String> {
    let size = format!("{:x}", body.len());
    let chunks = [
        (format!("+{size}"), "0\r\n"),
        (format!("{size};a=\0"), "0\r\n"),
        (String::new(), "0\r\n"),
        (size.clone(), "\r\n"),
        (size.clone(), ";\r\n"),
        (size.clone(), "0\r\ngarbage\r\n"),
        (size, "0\r\nx y: z\r\n"),
    ];
    let head = format!("HTTP/1.1 {status}\r\ntransfer-encoding: chunked\r\n\r\n");
    let response = |(size, end): (String, &str)| format!("{head}{size}\r\n{body}\r\n{end}\r\n");
    chunks.into_iter().map(response).collect()
}

/// Returns responses without a fault, one of each framing.
pub fn sound_responses(body: &str) -> [String; 3] {
    let length = body.len();
    [
        format!("content-length: {length}\r\nkeep-alive: timeout=5\r\n\r\n{body}"),
        format!("connection: close\r\n\r\n{body}"),
        format!(
            "transfer-encoding: chunked\r\n\r\n{length:x};a=\"b\"\r\n{body}\r\n0\r\nx: y\r\n\r\n"
        ),
    ]
    .map(|rest| format!("HTTP/1.1 200 OK\r\n{rest}"))
}
