//! An HTTP server that finishes open requests when it drains.

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

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from `peer`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Returns what holds for connections that are accepted from now on.
    fn options(&self) -> Options {
        Options::default()
    }
}

/// What holds for a connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a connection may be without a whole head of a request: idle, or while a head comes
    /// in. HTTP/1.1 only.
    pub head_timeout: Duration,
    /// The longest head of a request, in bytes; at least 8 KB are read. HTTP/1.1 only.
    pub head_bytes: Option<usize>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            head_timeout: HEADER_TIMEOUT,
            head_bytes: None,
        }
    }
}

/// How long a client may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The least size of the buffer in which a head is read; the library takes no smaller one.
const MIN_HEAD_BYTES: usize = 8192;

/// The most headers of one request.
const MAX_HEADERS: usize = 100;

/// Serves HTTP/1.1 and HTTP/2 without TLS on `listener` until `drain` is cancelled, then finishes the
/// open requests and returns.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, drain: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = drain.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            // Accept fails while the process is out of file descriptors; a pause lets some close.
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

fn spawn_connection(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    handler: &Arc<dyn Handler>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let _ = stream.set_nodelay(true);
    let handler = Arc::clone(handler);
    let service = service_fn(move |request| {
        let answer = Arc::clone(&handler).handle(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = builder
        .serve_connection_with_upgrades(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("connection of {} ended early: {}", peer, error);
        }
    });
}
