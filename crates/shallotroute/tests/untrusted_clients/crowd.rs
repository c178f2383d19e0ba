//! Clients that open many connections and do not behave.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time::timeout};

/// How long a client tries to write what it has. A node that does not read any more blocks it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a crowd goes on sending at most, so that a test ends also where a node hangs.
const CROWD_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause between two pieces of a body.
const PAUSE: Duration = Duration::from_millis(2);

/// How long a crowd is left alone after its last byte, so that the node has seen all of it.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunked,
}

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// At once and completely.
    Whole,
    /// At once, up to the last byte but one.
    Short,
    /// In pieces with pauses, up to the last byte but one.
    ShortInPieces,
}

/// A request whose body is sent in a certain way.
#[derive(Clone, Debug)]
pub(crate) struct Upload {
    /// The request line and headers, each with its line end, without those of the body.
    pub(crate) head: String,
    pub(crate) body: Arc<[u8]>,
    pub(crate) framing: Framing,
    pub(crate) delivery: Delivery,
}

/// The open connections of a crowd; they close on drop.
#[derive(Debug)]
pub(crate) struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Upload {
    /// Returns the bytes of the connection in the pieces in which they are written.
    fn pieces(&self) -> Vec<Vec<u8>> {
        let body = &self.body[..];
        let mut head = self.head.clone().into_bytes();
        match self.framing {
            Framing::Length => {
                head.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
            }
            Framing::Chunked => head.extend(b"transfer-encoding: chunked\r\n\r\n"),
        }
        let sent = match self.delivery {
            Delivery::Whole => body,
            Delivery::Short | Delivery::ShortInPieces => &body[..body.len() - 1],
        };
        let mut pieces = vec![head];
        for part in sent.chunks(64 << 10) {
            pieces.push(match self.framing {
                Framing::Length => part.to_vec(),
                Framing::Chunked => {
                    let mut chunk = format!("{:x}\r\n", part.len()).into_bytes();
                    chunk.extend(part);
                    chunk.extend(b"\r\n");
                    chunk
                }
            });
        }
        if self.framing == Framing::Chunked && self.delivery == Delivery::Whole {
            pieces.push(b"0\r\n\r\n".to_vec());
        }
        pieces
    }
}

/// Sends an upload on each of `count` connections at the same time, and keeps them open. `upload` gets the number of the
/// connection.
pub(crate) async fn upload(
    address: SocketAddr,
    count: usize,
    upload: impl Fn(usize) -> Upload,
) -> Crowd {
    let uploads = (0..count).map(upload).collect::<Vec<_>>();
    let mut tasks = JoinSet::new();
    for upload in uploads {
        let pause = (upload.delivery == Delivery::ShortInPieces).then_some(PAUSE);
        tasks.spawn(async move { send(address, upload.pieces(), pause).await });
    }
    join(tasks).await
}

/// Writes the same bytes on each of `count` connections at the same time, and keeps them open.
pub(crate) async fn write(address: SocketAddr, count: usize, bytes: Vec<u8>) -> Crowd {
    let bytes = Arc::new(bytes);
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        let bytes = Arc::clone(&bytes);
        tasks.spawn(async move {
            let mut stream = TcpStream::connect(address).await.ok()?;
            for part in bytes.chunks(64 << 10) {
                match timeout(WRITE_TIMEOUT, stream.write_all(part)).await {
                    Ok(Ok(())) => {}
                    // The node has closed the connection or reads no more of it.
                    _ => break,
                }
            }
            Some(stream)
        });
    }
    join(tasks).await
}

async fn send(
    address: SocketAddr,
    pieces: Vec<Vec<u8>>,
    pause: Option<Duration>,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    for piece in pieces {
        match timeout(WRITE_TIMEOUT, stream.write_all(&piece)).await {
            Ok(Ok(())) => {}
            // The node has closed the connection or reads no more of it.
            _ => break,
        }
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
    Some(stream)
}

async fn join(mut tasks: JoinSet<Option<TcpStream>>) -> Crowd {
    let mut streams = Vec::new();
    let collecting = async {
        while let Some(stream) = tasks.join_next().await {
            streams.extend(stream.ok().flatten());
        }
    };
    // A crowd that is not done by then goes on with what it has.
    let _ = timeout(CROWD_TIMEOUT, collecting).await;
    tokio::time::sleep(SETTLING_TIME).await;
    Crowd { _streams: streams }
}
