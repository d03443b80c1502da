//! Connections of `ureq` that hand on only valid responses.
//!
//! `ureq` ends lines at a line feed alone, takes a coding that it does not know for a body that
//! ends with its connection, one of several framings that contradict each other, and a sign
//! before the size of a chunk. So the decoder of this package reads what arrives before `ureq`
//! does, and the connection fails where a response is malformed.

use std::io;

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

use crate::decoder::{BodyPart, Decoder, ReadError};
use crate::response::Framing;

/// Wraps connections of another connector.
#[derive(Debug)]
pub struct StrictConnector;

/// A connection whose responses are checked.
#[derive(Debug)]
pub struct StrictTransport<T> {
    inner: T,
    /// Check of the response to the last request.
    check: Check,
    /// Whether any of that response has arrived, so that what is sent next is another request.
    answered: bool,
}

/// Check of one response.
#[derive(Debug, Default)]
struct Check {
    method: String,
    decoder: Decoder,
    /// Framing of the body, once the head is complete.
    framing: Option<Framing>,
}

impl<In: Transport> Connector<In> for StrictConnector {
    type Out = StrictTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| StrictTransport {
            inner,
            check: Check::default(),
            // The first bytes that are sent begin a request.
            answered: true,
        }))
    }
}

impl<T: Transport> Transport for StrictTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        if self.answered {
            self.check = Check::new(&self.inner.buffers().output()[..amount]);
            self.answered = false;
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let arrived = self.inner.await_input(timeout)?;
        let received = self.inner.buffers().input().get(before..).unwrap_or_default();
        self.answered |= !received.is_empty();
        self.check.read(received)?;
        Ok(arrived)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

impl Check {
    /// Begins the check of the response to a request.
    fn new(request: &[u8]) -> Self {
        let method = request.split(|b| *b == b' ').next().unwrap_or_default();
        Self { method: String::from_utf8_lossy(method).into_owned(), ..Self::default() }
    }

    /// Reads what has arrived of the response.
    fn read(&mut self, received: &[u8]) -> Result<(), Error> {
        if matches!(self.framing, Some(Framing::Length(_) | Framing::UntilClose)) {
            return Ok(());
        }
        self.decoder.push(received);
        self.decode().map_err(|e| Error::Io(io::Error::new(io::ErrorKind::InvalidData, e)))
    }

    fn decode(&mut self) -> Result<(), ReadError> {
        if self.framing.is_none() {
            let head = self.decoder.parse_head(&self.method)?;
            self.framing = head.map(|head| head.framing);
        }
        // Chunks alone tell where a body ends after its head.
        let Some(framing @ Framing::Chunked) = &mut self.framing else { return Ok(()) };
        loop {
            match self.decoder.next_part(framing)? {
                BodyPart::Data(_) => {}
                BodyPart::NeedMore => return Ok(()),
                BodyPart::End => {
                    *framing = Framing::Length(0);
                    return Ok(());
                }
            }
        }
    }
}
