//! An HTTP server that completes the requests in progress when it drains.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::body::Body;

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request. `peer` is the remote address of the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Returns the limits of new connections. Called once for each accepted connection, so that a
    /// changed configuration applies to later ones.
    fn options(&self) -> Options {
        Options::default()
    }
}

/// The limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The timeout of receiving a complete request head; idle time before a request counts. Applies
    /// to HTTP/1.1 only.
    pub head_timeout: Duration,
    /// The maximum length of a request head, in bytes. Values below 8 KB are raised to it; `None`
    /// is the library's default. Applies to HTTP/1.1 only.
    pub head_bytes: Option<usize>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            head_bytes: None,
        }
    }
}

/// The default of [`Options::head_timeout`].
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The smallest read buffer that `hyper` accepts, in bytes; a smaller one panics.
const MIN_HEAD_BYTES: usize = 8192;

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Serves HTTP/1.1 and HTTP/2 without TLS until `drain` is cancelled. Then closes the listener and
/// returns once the requests in progress are complete.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, drain: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = drain.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Accepting fails while the process is out of file descriptors. The delay avoids a busy
            // loop until some are closed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let builder = builder(handler.options());
        spawn_connection(&builder, &graceful, &handler, stream, peer);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder(options: Options) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    let mut http1 = builder.http1();
    http1
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_headers(MAX_HEADERS);
    if let Some(bytes) = options.head_bytes {
        http1.max_buf_size(bytes.max(MIN_HEAD_BYTES));
    }
    builder.http2().timer(TokioTimer::new());
    builder
}

/// Serves one connection until it ends.
pub async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>, peer: SocketAddr) {
    let builder = builder(handler.options());
    let connection = builder.serve_connection(TokioIo::new(stream), service(handler, peer));
    if let Err(error) = connection.await {
        spdlog::debug!("connection from {} failed: {}", peer, error);
    }
}

fn service(
    handler: Arc<dyn Handler>,
    peer: SocketAddr,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future: Send + 'static,
> {
    service_fn(move |request| {
        let response = Arc::clone(&handler).handle(request, peer);
        async move { Ok::<_, Infallible>(response.await) }
    })
}

fn spawn_connection(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    handler: &Arc<dyn Handler>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let _ = stream.set_nodelay(true);
    let service = service(Arc::clone(handler), peer);
    let connection = builder
        .serve_connection_with_upgrades(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("connection from {} failed: {}", peer, error);
        }
    });
}
