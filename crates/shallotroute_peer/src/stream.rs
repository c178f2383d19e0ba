//! Opening and accepting connections between nodes.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::{codec::Decoder, sync::CancellationToken};

pub use crate::codec::MAX_FRAME_BYTES;
use crate::{
    codec::{FrameCodec, Postcard},
    service::Kind,
};

/// How long a peer may take to accept a connection and to name a service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A framed connection that carries `In` and `Out` as `postcard`.
pub type Framed<In, Out> = tokio_serde::Framed<
    tokio_util::codec::Framed<TcpStream, FrameCodec>,
    In,
    Out,
    Postcard<In, Out>,
>;

/// Serves connections to one service.
pub trait Service: Send + Sync + 'static {
    /// Serves a connection in a task of its own and returns at once.
    fn accept(&self, stream: TcpStream, peer: SocketAddr);
}

/// The services of a node by kind.
pub type Services = HashMap<Kind, Arc<dyn Service>>;

/// Opens a connection to a service of the node at `address`.
///
/// # Errors
///
/// The node can't be reached within a second.
pub async fn connect(address: SocketAddr, kind: Kind) -> io::Result<TcpStream> {
    timeout(CONNECT_TIMEOUT, async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(&[kind.byte()]).await?;
        Ok(stream)
    })
    .await?
}

/// Frames a connection for `tarpc`.
pub fn frame<In: DeserializeOwned, Out: Serialize>(stream: TcpStream) -> Framed<In, Out> {
    tokio_serde::Framed::new(FrameCodec::default().framed(stream), Postcard::default())
}

/// Accepts connections of other nodes until `stop` is cancelled.
pub async fn serve(listener: TcpListener, services: Arc<Services>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Accept fails while the process is out of file descriptors; a pause lets some close.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tokio::spawn(dispatch(stream, peer, Arc::clone(&services)));
    }
}

async fn dispatch(mut stream: TcpStream, peer: SocketAddr, services: Arc<Services>) {
    let _ = stream.set_nodelay(true);
    let byte = match timeout(CONNECT_TIMEOUT, stream.read_u8()).await {
        Ok(Ok(byte)) => byte,
        Ok(Err(_)) | Err(_) => return,
    };
    match Kind::from_byte(byte).and_then(|kind| services.get(&kind)) {
        Some(service) => service.accept(stream, peer),
        None => spdlog::warn!(
            "node connection of {} names an unknown service {}",
            peer,
            byte
        ),
    }
}
