//! What becomes of a request whose client closes its connection before it has the response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use googletest::prelude::*;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use shallotroute_http::{
    body::{self, Body},
    memory::{Bounds, Memory},
    server::{self, Handler},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// How long the handling of a request takes after its body has been read.
const HANDLING_TIME: Duration = Duration::from_millis(200);

/// Reports the body of each request that is handled to its end. Requests with other methods than GET outlive their
/// connection.
struct Recorder(mpsc::UnboundedSender<Vec<u8>>);

impl Handler for Recorder {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let content = body::read_request(request.into_body(), 1 << 20).await;
            tokio::time::sleep(HANDLING_TIME).await;
            if let Ok(content) = content {
                let _ = self.0.send(content.to_vec());
            }
            Response::new(body::empty())
        })
    }

    fn outlives_connection(&self, request: &Request<Incoming>) -> bool {
        *request.method() != Method::GET
    }
}

/// Sends a request to a server, closes the connection after `delay`, and returns the body if the request is handled to its
/// end. `is_bounded` gives the server a memory budget.
async fn send_and_leave(
    method: Method,
    delay: Duration,
    is_bounded: bool,
) -> Result<Option<Vec<u8>>> {
    let (sender, mut handled) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let handler = Arc::new(Recorder(sender));
    let serving = match is_bounded {
        true => {
            let memory = Memory::new(Bounds::new(None, None));
            let clients = memory.clients();
            tokio::spawn(server::serve_within(
                listener,
                handler,
                stop.clone(),
                clients,
            ))
        }
        false => tokio::spawn(server::serve(listener, handler, stop.clone())),
    };
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("{method} / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nbody");
    stream.write_all(request.as_bytes()).await?;
    tokio::time::sleep(delay).await;
    drop(stream);
    let handled = timeout(HANDLING_TIME * 5, handled.recv()).await;
    stop.cancel();
    serving.await?;
    Ok(handled.ok().flatten())
}

/// Guards against work that is left half done because its client closed the connection: before its handling began, or
/// during it.
#[gtest]
#[tokio::test]
async fn a_request_that_outlives_its_connection_is_handled_to_its_end() -> Result<()> {
    for is_bounded in [false, true] {
        for delay in [Duration::ZERO, HANDLING_TIME / 2] {
            for method in [Method::DELETE, Method::POST] {
                let handled = send_and_leave(method, delay, is_bounded).await?;
                expect_that!(handled, some(eq(b"body")), "{delay:?}, {is_bounded}");
            }
        }
    }
    Ok(())
}

/// Guards against work for clients that have gone.
#[gtest]
#[tokio::test]
async fn other_requests_end_with_their_connection() -> Result<()> {
    for is_bounded in [false, true] {
        let handled = send_and_leave(Method::GET, HANDLING_TIME / 2, is_bounded).await?;
        expect_that!(handled, none(), "{is_bounded}");
    }
    Ok(())
}
