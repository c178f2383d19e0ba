//! A TCP connection that the memory budget of the process can close.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use shallotroute_http::memory::Connection;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::WaitForCancellationFutureOwned;

/// A TCP connection that fails once its memory budget closes it.
#[derive(Debug)]
pub struct Closable {
    stream: TcpStream,
    /// The accepted connection, and when it is closed; `None` on an outgoing one.
    budget: Option<(Arc<Connection>, Pin<Box<WaitForCancellationFutureOwned>>)>,
}

impl Closable {
    /// Wraps a connection: the one for which the function is called, or an outgoing one.
    pub(crate) fn new(stream: TcpStream) -> Self {
        let budget = Connection::current().map(|connection| {
            let closed = Box::pin(connection.closed().clone().cancelled_owned());
            (connection, closed)
        });
        Self { stream, budget }
    }

    fn poll_closed(&mut self, context: &mut Context<'_>) -> bool {
        match &mut self.budget {
            Some((_, closed)) => closed.as_mut().poll(context).is_ready(),
            None => false,
        }
    }
}

impl AsyncRead for Closable {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_closed(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Closable {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.poll_closed(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
