//! Measures what calls about an engine's memory cost the calling instance.
//!
//! Each row is one call with a number of identifiers: the CPU time of the
//! calling thread and the bytes in both directions, on a persistent connection.

use std::error::Error;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use mimosapass_target::client;
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{Cancel, Renew, allocations, cancel, renew};
use ureq::Agent;

/// Measured calls per row.
const CALLS: u64 = 2_000;

fn main() -> Result<(), Box<dyn Error>> {
    let bytes = Arc::new(AtomicU64::new(0));
    println!("{:<8} {:>4} {:>14} {:>12}", "call", "ids", "cpu us/call", "bytes/call");
    let renewed = r#"{"boot":1764794000000,"unknown":[]}"#;
    for count in [1, 10, 100] {
        let ids: Vec<String> = (0..count).map(id).collect();
        let request = Renew { holder: holder(), expiry_ms: 30_000, ids: ids.clone() };
        measure("renew", count, renewed, &bytes, |a, addr| renew(a, addr, &request).map(drop))?;
        let request = Cancel { ids, expired: false };
        measure("cancel", count, "{}", &bytes, |a, addr| cancel(a, addr, &request))?;
    }
    let empty = r#"{"boot":1764794000000,"held":[]}"#;
    measure("held", 0, empty, &bytes, |a, addr| allocations(a, addr, true).map(drop))
}

fn holder() -> String {
    "zapad-a-17/19ae9c6bd40".to_owned()
}

fn id(number: u64) -> String {
    format!("zapad-a-17-19ae9c6bd40-{:x}", 0x10_0000 + number)
}

fn measure(
    name: &str,
    count: u64,
    answer: &'static str,
    bytes: &Arc<AtomicU64>,
    call: impl Fn(&Agent, &str) -> Result<(), CallError>,
) -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?.to_string();
    let counter = Arc::clone(bytes);
    thread::spawn(move || {
        if let Ok((stream, _)) = listener.accept() {
            // The client closes the connection when the measurement ends.
            serve(stream, answer, &counter).unwrap_or_default();
        }
    });
    let agent = client::agent(1);
    call(&agent, &addr)?;
    bytes.store(0, Ordering::SeqCst);
    let before = cpu_ns()?;
    for _ in 0..CALLS {
        call(&agent, &addr)?;
    }
    let cpu_us = (cpu_ns()? - before) as f64 / CALLS as f64 / 1000.0;
    let call_bytes = bytes.load(Ordering::SeqCst) / CALLS;
    println!("{name:<8} {count:>4} {cpu_us:>14.1} {call_bytes:>12}");
    Ok(())
}

/// Responds to each request on one connection and counts the bytes.
fn serve(mut stream: TcpStream, answer: &str, bytes: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffered = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        buffered.extend_from_slice(&buffer[..read]);
        if is_complete(&buffered) {
            let text = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{answer}",
                answer.len()
            );
            bytes.fetch_add((buffered.len() + text.len()) as u64, Ordering::SeqCst);
            buffered.clear();
            stream.write_all(text.as_bytes())?;
        }
    }
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => !head.contains("transfer-encoding: chunked") || body.ends_with("0\r\n\r\n"),
    }
}

/// Returns the CPU time of this thread, in nanoseconds.
fn cpu_ns() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().ok_or("schedstat is empty")?;
    Ok(first.parse()?)
}
