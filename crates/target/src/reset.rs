//! Connections whose reset is an error also where a response ends with its connection.
//!
//! `ureq` takes a reset for the end of a response without a length, so that a caller would
//! get the part that arrived as the whole.

use std::io::{self, ErrorKind};

use ureq::Error;
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};

/// Wraps connections of another connector.
#[derive(Debug)]
pub(crate) struct ResetConnector;

/// A connection on which a reset ends no response.
#[derive(Debug)]
pub(crate) struct ResetTransport<T>(T);

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ResetTransport))
    }
}

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(|e| match e {
            Error::Io(e) if is_reset(e.kind()) => {
                Error::Io(io::Error::other("the connection was reset"))
            }
            e => e,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn is_reset(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset)
}
