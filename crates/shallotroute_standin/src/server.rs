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

/// The instruction to close the connection without a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("connection closed without an answer")]
pub struct Disconnect;

impl std::error::Error for Disconnect {}

/// A response, or the instruction to close the connection instead.
pub type Reply = Result<Response<Body>, Disconnect>;

/// A handler of the requests to a simulated service.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The future is dropped when the client closes the connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply>;
}

/// An HTTP server, running or stopped; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    /// The guard that stops the server when dropped; none while the server is stopped.
    stop_guard: Mutex<Option<DropGuard>>,
}

/// The loopback address with a port that the operating system chooses.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// How long a restart tries to bind the address of the stopped server.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

impl Server {
    /// Starts a server on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            address,
            stop_guard: Mutex::new(Some(spawn_accept_loop(listener, handler))),
        })
    }

    /// Returns the address, which stays the same over restarts.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the server accepts connections.
    pub fn is_running(&self) -> bool {
        self.lock().is_some()
    }

    /// Closes the listener and every connection at once.
    pub fn stop(&self) {
        drop(self.lock().take());
    }

    /// Starts the server again on the same address; does nothing when it is running.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound within two seconds.
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
        *self.lock() = Some(spawn_accept_loop(listener, handler));
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<DropGuard>> {
        self.stop_guard
            .lock()
            .expect("no holder of the lock panics")
    }
}

fn spawn_accept_loop(listener: TcpListener, handler: Arc<dyn Handler>) -> DropGuard {
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
            // Accepting fails while the process is out of file descriptors; the pause lets some
            // close.
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
        // An error means that a fault or the client closed the connection.
        _ = connection => {}
    }
}
