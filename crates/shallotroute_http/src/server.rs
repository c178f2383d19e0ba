//! An HTTP server that completes the requests in progress when it drains.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::{BoxFuture, Either};
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{
    body::{self, Body},
    memory::{Connection, Listener, RETRY_AFTER, Reserved},
};

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request. `peer` is the remote address of the connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>>;

    /// Returns whether a request is handled to its end although its client closes the connection before it has the
    /// response. The handling of other requests is dropped then.
    fn outlives_connection(&self, _request: &Request<Incoming>) -> bool {
        false
    }

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

/// The size of a connection's read and write buffers within a memory budget, in bytes; the library's default is 400 KB.
const BOUNDED_BUFFER_BYTES: usize = 64 << 10;

/// The interval at which connections are looked for whose clients make no progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Serves HTTP/1.1 and HTTP/2 without TLS until `drain` is cancelled. Then closes the listener and
/// returns once the requests in progress are complete.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, drain: CancellationToken) {
    accept(listener, handler, drain, None).await;
}

/// Serves HTTP/1.1 as [`serve`] does, within the memory budget of `connections`, which counts one request for each of them.
pub async fn serve_within(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    drain: CancellationToken,
    connections: Arc<Listener>,
) {
    Listener::bound_buffers(&listener);
    accept(listener, handler, drain, Some(connections)).await;
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    drain: CancellationToken,
    connections: Option<Arc<Listener>>,
) {
    let graceful = GracefulShutdown::new();
    let mut check = tokio::time::interval(STALL_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            () = drain.cancelled() => break,
            accepted = listener.accept() => accepted,
            _ = check.tick(), if connections.is_some() => {
                if let Some(connections) = &connections {
                    connections.memory().close_stalled();
                }
                continue;
            }
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
        let connection = connection.flatten();
        let builder = builder(handler.options(), connection.is_some());
        spawn_connection(&builder, &graceful, &handler, stream, peer, connection);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder(options: Options, is_bounded: bool) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    let mut http1 = builder.http1();
    http1
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_headers(MAX_HEADERS);
    let head_bytes = options
        .head_bytes
        .or(is_bounded.then_some(BOUNDED_BUFFER_BYTES));
    if let Some(bytes) = head_bytes {
        http1.max_buf_size(bytes.max(MIN_HEAD_BYTES));
    }
    builder.http2().timer(TokioTimer::new());
    match is_bounded {
        true => builder.http1_only(),
        false => builder,
    }
}

/// Serves one connection until it ends, or until its memory budget closes it: that of the connection for which the function
/// is called. Within a budget it serves HTTP/1.1 only.
pub fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    peer: SocketAddr,
) -> impl Future<Output = ()> + Send + 'static {
    let connection = Connection::current();
    async move {
        let builder = builder(handler.options(), connection.is_some());
        let service = service(handler, peer, connection.clone());
        let serving = builder.serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            served = serving => if let Err(error) = served {
                spdlog::debug!("connection from {} failed: {}", peer, error);
            },
            () = wait_until_closed(connection.as_ref()) => {}
        }
    }
}

/// Waits until the memory budget closes a connection.
async fn wait_until_closed(connection: Option<&Arc<Connection>>) {
    match connection {
        Some(connection) => connection.closed().cancelled().await,
        None => std::future::pending().await,
    }
}

/// Returns the response to a request whose body did not fit into the memory budget, so that it has not run.
fn refuse(version: Version, mut response: Response<Body>) -> Response<Body> {
    let is_refusal = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ]
    .contains(&response.status());
    if !is_refusal {
        response = Response::new(body::full("the memory budget is exhausted"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let seconds = HeaderValue::from(RETRY_AFTER.as_secs());
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    // The rest of the body is not read.
    if version <= Version::HTTP_11 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn service(
    handler: Arc<dyn Handler>,
    peer: SocketAddr,
    connection: Option<Arc<Connection>>,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future: Send + 'static,
> {
    service_fn(move |request| {
        let version = request.version();
        let open = connection.as_ref().map(|it| Arc::new(it.begin_request()));
        let outlives_connection = handler.outlives_connection(&request);
        let response = Arc::clone(&handler).handle(request, peer);
        let handling = async move {
            let Some(open) = open else {
                return response.await;
            };
            let mut response = Arc::clone(&open).scope(response).await;
            if open.is_refused() {
                response = refuse(version, response);
            }
            response.map(|body| Reserved::new(body, open).boxed_unsync())
        };
        // The task starts here: if the connection ends right after the request, the future below is never polled.
        let handling = match outlives_connection {
            true => Either::Left(detach(handling)),
            false => Either::Right(handling),
        };
        async move { Ok::<_, Infallible>(handling.await) }
    })
}

/// Runs a future in a task, which goes on if the returned future is dropped.
///
/// # Panics
///
/// The returned future panics if `future` does.
fn detach<F>(future: F) -> impl Future<Output = F::Output> + Send + 'static
where
    F: Future<Output: Send> + Send + 'static,
{
    let task = tokio::spawn(future);
    async move {
        match task.await {
            Ok(output) => output,
            Err(error) => match error.try_into_panic() {
                Ok(panic) => std::panic::resume_unwind(panic),
                // Only the end of the runtime cancels the task.
                Err(_) => std::future::pending().await,
            },
        }
    }
}

fn spawn_connection(
    builder: &Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    handler: &Arc<dyn Handler>,
    stream: TcpStream,
    peer: SocketAddr,
    connection: Option<Arc<Connection>>,
) {
    let _ = stream.set_nodelay(true);
    let service = service(Arc::clone(handler), peer, connection.clone());
    let serving = builder
        .serve_connection_with_upgrades(TokioIo::new(stream), service)
        .into_owned();
    let serving = graceful.watch(serving);
    tokio::spawn(async move {
        tokio::select! {
            served = serving => if let Err(error) = served {
                spdlog::debug!("connection from {} failed: {}", peer, error);
            },
            () = wait_until_closed(connection.as_ref()) => {}
        }
    });
}
