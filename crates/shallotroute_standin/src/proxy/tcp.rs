//! A proxy for TCP connections.

use std::{io, net::SocketAddr, time::Instant};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{Control, Direction, Fault};
use crate::server::ANY;

/// The size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 64 << 10;

/// A TCP proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Tcp {
    address: SocketAddr,
    control: Control,
    _stop: DropGuard,
}

impl Tcp {
    /// Starts a proxy without faults that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY).await?;
        let address = listener.local_addr()?;
        let control = Control::new();
        let stop = CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept(
            listener,
            target,
            control.clone(),
            stop.clone(),
        )));
        Ok(Self {
            address,
            control,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults, also for open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.control.set(fault);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    control: Control,
    stop: CancellationToken,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        // A cut proxy closes the connection at once. The listener stays open, since a closed one
        // could lose its port.
        if control.get().cut {
            continue;
        }
        let connection = serve(client, target, control.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
    }
}

async fn serve(client: TcpStream, target: SocketAddr, control: Control) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let request_data = forward(from_client, to_server, Direction::Request, &control);
    let response_data = forward(from_server, to_client, Direction::Response, &control);
    tokio::select! {
        () = control.wait_until_cut() => {}
        // A client may close its direction and still read the response, so that only the end of the
        // response direction ends the connection.
        () = async { tokio::join!(request_data, std::future::pending::<()>()); } => {}
        () = response_data => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    control: &Control,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        let received = Instant::now();
        control.wait_to_forward(direction, received).await;
        if direction == Direction::Response && control.get().lose_responses {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
