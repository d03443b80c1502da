//! Minimal HTTP client with little time overhead of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_mins(1);
/// Last chunk of a streamed answer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Client with one persistent connection.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Times of one request, from before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time to the first event.
    pub first: Duration,
    /// Time to the last byte.
    pub total: Duration,
}

impl Client {
    /// Connects to an instance or a target.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { stream, buffer: vec![0; 64 * 1024] })
    }

    /// Sends a request and reads up to the first event of its stream.
    pub fn send(&mut self, request: &[u8]) -> io::Result<Vec<u8>> {
        self.stream.write_all(request)?;
        let mut received = Vec::new();
        while !received.windows(6).any(|w| w == b"data: ") {
            self.read_more(&mut received)?;
        }
        if received.starts_with(b"HTTP/1.1 200") {
            Ok(received)
        } else {
            Err(io::ErrorKind::Other.into())
        }
    }

    /// Sends a request and reads its streamed answer to the end.
    pub fn measure(&mut self, request: &[u8]) -> io::Result<Times> {
        let start = Instant::now();
        let mut received = self.send(request)?;
        let first = start.elapsed();
        while !received.ends_with(LAST_CHUNK) {
            self.read_more(&mut received)?;
        }
        Ok(Times { first, total: start.elapsed() })
    }

    fn read_more(&mut self, received: &mut Vec<u8>) -> io::Result<()> {
        let read = self.stream.read(&mut self.buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&self.buffer[..read]);
        Ok(())
    }
}

/// Returns the bytes of a streamed chat request.
///
/// A target that is called directly needs the identifier of an attempt.
pub fn chat_request(
    model: &str,
    prompt_bytes: usize,
    answer_tokens: u64,
    attempt: &str,
) -> Vec<u8> {
    let prompt = "abcd".repeat(prompt_bytes / 4);
    let body = format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":{answer_tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmimosapass-workspace: atlas\r\n\
         mimosapass-attempt: {attempt}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}
