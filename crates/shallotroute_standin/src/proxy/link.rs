//! A TCP proxy whose address can be cut off so that new connections are refused or hang.

use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::server::ANY;

/// The size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// The number of connections that fill the queue of a listener that accepts none.
const QUEUE_FILLERS: usize = 2;

/// The delay before the address is bound again after another process took its port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections and new ones hang.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

/// A TCP proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    cut: watch::Sender<Option<Cut>>,
    _stop: DropGuard,
}

impl Link {
    /// Starts a proxy that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = StdListener::bind(ANY)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let cut = watch::Sender::new(None);
        let stop = CancellationToken::new();
        let serving = serve(listener, address, target, cut.subscribe(), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
        Ok(Self {
            address,
            cut,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link, or heals it with `None`.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.cut.send_replace(cut);
    }
}

/// Accepts connections while the link is not cut. The listener is closed meanwhile, so that the system refuses
/// connections.
async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut cut: watch::Receiver<Option<Cut>>,
    stop: CancellationToken,
) {
    let mut listener = Some(listener);
    loop {
        let current = *cut.borrow_and_update();
        if current.is_some() {
            // The link may be cut from the start.
            listener = None;
        }
        match current {
            None => {
                let bound = match listener.take() {
                    Some(bound) => bound,
                    None => bind(address, 1024).await,
                };
                loop {
                    tokio::select! {
                        _ = cut.changed() => break,
                        accepted = bound.accept() => {
                            if let Ok((client, _)) = accepted {
                                let connection = forward(client, target, cut.clone());
                                tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
                            }
                        }
                    }
                }
            }
            Some(Cut::Reset | Cut::RefuseNew) => {
                let _ = cut.changed().await;
            }
            Some(Cut::Hang) => {
                // The system drops the packets of further connections once the queue is full.
                let _full = bind(address, 0).await;
                let mut fillers = Vec::new();
                for _ in 0..QUEUE_FILLERS {
                    let filler = TcpStream::connect(address);
                    let filler = tokio::time::timeout(Duration::from_millis(50), filler).await;
                    fillers.push(filler);
                }
                let _ = cut.changed().await;
            }
        }
    }
}

async fn bind(address: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        let bound = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(backlog)
        });
        match bound {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
        }
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut cut: watch::Receiver<Option<Cut>>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return reset(&client);
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    // Resets the connection if it is dropped before both directions have ended.
    let _ = client.set_zero_linger();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(from_client, to_server, cut.clone());
    let responses = copy(from_server, to_client, cut.clone());
    tokio::select! {
        _ = cut.wait_for(|cut| *cut == Some(Cut::Reset)) => {}
        () = async { tokio::join!(requests, std::future::pending::<()>()); } => {}
        () = responses => {}
    }
}

fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Copies one direction until its end; holds the bytes while the link hangs.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Option<Cut>>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            // Passes a reset on: dropping the writer would end the connection in order.
            return to.forget();
        };
        let _ = cut.wait_for(|cut| *cut != Some(Cut::Hang)).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
