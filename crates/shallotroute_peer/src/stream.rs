//! Opens and accepts TCP connections between nodes. The first byte of a connection selects the
//! service.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use shallotroute_http::memory::{Connection, Listener};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{codec::Decoder, sync::CancellationToken};

pub use crate::codec::MAX_FRAME_BYTES;
use crate::{
    closable::Closable,
    codec::{FrameCodec, Postcard},
    service::Kind,
};

/// The timeout of connecting to a node, and of receiving the service byte of an accepted
/// connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A framed connection that receives `In` and sends `Out`, both encoded with `postcard`.
pub type Framed<In, Out> = tokio_serde::Framed<
    tokio_util::codec::Framed<Closable, FrameCodec>,
    In,
    Out,
    Postcard<In, Out>,
>;

/// Handles the connections to one service.
pub trait Service: Send + Sync + 'static {
    /// Takes over a connection from the node at `peer`. Implementations spawn a task and return
    /// immediately.
    fn accept(&self, stream: TcpStream, peer: SocketAddr);
}

/// The services that a node offers, by kind.
pub type Services = HashMap<Kind, Arc<dyn Service>>;

/// Connects to a service of the node at `address`.
///
/// # Errors
///
/// Returns an error if the node can't be reached within a second.
pub async fn connect(address: SocketAddr, kind: Kind) -> io::Result<TcpStream> {
    timeout(CONNECT_TIMEOUT, async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&[kind.byte()]).await?;
        Ok(stream)
    })
    .await?
}

/// Wraps a connection in the frames and the codec that a `tarpc` transport needs.
///
/// An accepted connection counts against the memory budget if the function is called within [`Service::accept`].
pub fn frame<In: DeserializeOwned, Out: Serialize>(stream: TcpStream) -> Framed<In, Out> {
    let stream = Closable::new(stream);
    tokio_serde::Framed::new(FrameCodec::default().framed(stream), Postcard::default())
}

/// Accepts connections from other nodes and hands them to `services` until `stop` is cancelled.
///
/// A connection that names no known service within the connect timeout is closed.
pub async fn serve(listener: TcpListener, services: Arc<Services>, stop: CancellationToken) {
    accept(listener, services, stop, None).await;
}

/// Accepts as [`serve`] does, within the memory budget of `connections`.
pub async fn serve_within(
    listener: TcpListener,
    services: Arc<Services>,
    stop: CancellationToken,
    connections: Arc<Listener>,
) {
    Listener::bound_buffers(&listener);
    accept(listener, services, stop, Some(connections)).await;
}

async fn accept(
    listener: TcpListener,
    services: Arc<Services>,
    stop: CancellationToken,
    connections: Option<Arc<Listener>>,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Accepting fails while the process is out of file descriptors. The delay avoids a busy
            // loop until some are closed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let connection = connections.as_ref().map(Listener::admit);
        if let Some(None) = connection {
            continue;
        }
        let services = Arc::clone(&services);
        tokio::spawn(dispatch(stream, peer, services, connection.flatten()));
    }
}

async fn dispatch(
    mut stream: TcpStream,
    peer: SocketAddr,
    services: Arc<Services>,
    connection: Option<Arc<Connection>>,
) {
    let _ = stream.set_nodelay(true);
    let service_byte = match timeout(CONNECT_TIMEOUT, stream.read_u8()).await {
        Ok(Ok(service_byte)) => service_byte,
        Ok(Err(_)) | Err(_) => return,
    };
    match Kind::from_byte(service_byte).and_then(|kind| services.get(&kind)) {
        Some(service) => match connection {
            Some(connection) => connection.enter(|| service.accept(stream, peer)),
            None => service.accept(stream, peer),
        },
        None => spdlog::warn!(
            "connection from node {} requested unknown service {}",
            peer,
            service_byte
        ),
    }
}
