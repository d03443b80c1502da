//! A small client that adds as little time of its own as it can.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_mins(1);
/// Last bytes of a streamed answer.
const END: &[u8] = b"0\r\n\r\n";

/// A kept connection.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// To the first event.
    pub first: Duration,
    /// To the last byte.
    pub whole: Duration,
}

impl Client {
    /// Connects to an instance or a target.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Self { stream, buffer: vec![0; 64 * 1024] })
    }

    /// Sends a request and reads up to the first event of its stream.
    pub fn open(&mut self, request: &[u8]) -> io::Result<Vec<u8>> {
        self.stream.write_all(request)?;
        let mut seen = Vec::new();
        while !seen.windows(6).any(|w| w == b"data: ") {
            self.more(&mut seen)?;
        }
        if seen.starts_with(b"HTTP/1.1 200") { Ok(seen) } else { Err(io::ErrorKind::Other.into()) }
    }

    /// Sends a request and reads its whole streamed answer.
    pub fn ask(&mut self, request: &[u8]) -> io::Result<Times> {
        let start = Instant::now();
        let mut seen = self.open(request)?;
        let first = start.elapsed();
        while !seen.ends_with(END) {
            self.more(&mut seen)?;
        }
        Ok(Times { first, whole: start.elapsed() })
    }

    fn more(&mut self, seen: &mut Vec<u8>) -> io::Result<()> {
        let read = self.stream.read(&mut self.buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        seen.extend_from_slice(&self.buffer[..read]);
        Ok(())
    }
}

/// Returns a streamed chat; a target needs the identifier of an attempt.
pub fn chat(model: &str, prompt_bytes: usize, answer: u64, attempt: &str) -> Vec<u8> {
    let prompt = "abcd".repeat(prompt_bytes / 4);
    let body = format!(
        r#"{{"model":"{model}","stream":true,"max_tokens":{answer},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nmimosapass-workspace: atlas\r\n\
         mimosapass-attempt: {attempt}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}
