//! An HTTP server on a loopback address that can be stopped with all its connections and started
//! again on the same address.

use std::{io, net::SocketAddr, sync::Arc, sync::Mutex, time::Duration};

use derive_more::Display;
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use shallotroute_http::body::Body;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The connection is to be closed without an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("connection closed without an answer")]
pub struct Disconnect;

impl std::error::Error for Disconnect {}

/// An answer, or none.
pub type Reply = Result<Response<Body>, Disconnect>;

/// Answers the requests of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when its client closes the connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply>;
}

/// A running or stopped server; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    running: Mutex<Option<DropGuard>>,
}

/// The loopback address with a port that the operating system chooses.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// How long a restart tries to bind the address of the stopped server.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

impl Server {
    /// Starts serving on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            address,
            running: Mutex::new(Some(spawn(listener, handler))),
        })
    }

    /// Returns the address, which a restart keeps.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the server accepts connections.
    pub fn is_running(&self) -> bool {
        self.lock().is_some()
    }

    /// Closes the listener and every connection at once.
    pub fn stop(&self) {
        drop(self.lock().take());
    }

    /// Serves again on the same address; does nothing when the server runs.
    ///
    /// # Errors
    ///
    /// The address can't be bound within two seconds.
    pub async fn restart(&self, handler: Arc<dyn Handler>) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let started = std::time::Instant::now();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if started.elapsed() > BIND_TIMEOUT => return Err(error),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        *self.lock() = Some(spawn(listener, handler));
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<DropGuard>> {
        self.running.lock().expect("no holder of the lock panics")
    }
}

fn spawn(listener: TcpListener, handler: Arc<dyn Handler>) -> DropGuard {
    let stop = CancellationToken::new();
    tokio::spawn(accept(listener, handler, stop.clone()));
    stop.drop_guard()
}

async fn accept(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&handler), stop.clone()));
            }
            // Accept fails while the process is out of file descriptors; a pause lets some close.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| Arc::clone(&handler).handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // A connection that ends in an error was cut by a fault or closed by its client.
        _ = connection => {}
    }
}
