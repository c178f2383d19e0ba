//! Performs the decisions of a [`Budget`] for a process: bodies, responses and kept data reserve their bytes, and connections
//! are closed that make no progress.

use std::{
    collections::HashMap,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio_util::sync::CancellationToken;

use crate::{
    body::{Body, Error},
    budget::{Admission, Budget, Connections, Id, Limits, Phase},
};

/// The memory that a process needs apart from what is reserved, in bytes: 15 to 30 MB were measured.
const BASE_BYTES: usize = 32 << 20;

/// The memory that is assumed if the host's can't be read, in bytes.
const FALLBACK_BYTES: usize = 512 << 20;

/// The size up to which a body or a response is small, in bytes: requests and responses other than batch jobs have some
/// hundred bytes to some kilobytes.
const SMALL_BYTES: usize = 64 << 10;

/// How long a large body or response may make no progress while over half of the budget is used.
const PRESSED_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a large body or response may make no progress.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The memory of a connection without its bodies, in bytes, by which their number is bounded.
const CONNECTION_BYTES: usize = 32 << 10;

/// The file descriptors that no listener uses: those of connections to servers, to the store and to other nodes.
const RESERVED_DESCRIPTORS: usize = 200;

/// The size up to which a frame of a response is not reserved, in bytes: the library queues at most 16 of them.
const UNCOUNTED_FRAME_BYTES: usize = 4 << 10;

/// The size of the pieces in which a response goes to its connection, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// The receive and send buffers of an accepted connection, in bytes. Bytes in them count as memory of the process.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// The time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// When a client may try again after a refusal.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

tokio::task_local! {
    static CONNECTION: Arc<Connection>;
    static REQUEST: Arc<OpenRequest>;
}

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The memory of the process, in bytes.
    pub memory: usize,
    /// The file descriptors of the process.
    pub descriptors: usize,
}

/// The memory budget of a process.
#[derive(Debug)]
pub struct Memory {
    bounds: Bounds,
    started_at: Instant,
    budget: Mutex<Budget>,
    /// The connections of holders that are closed if their clients make no progress.
    evictable: Mutex<HashMap<Id, Weak<Connection>>>,
    /// The numbers of connections that were closed for others, of those that were rejected, and of stalled ones.
    replaced: AtomicU64,
    rejected: AtomicU64,
    stalled: AtomicU64,
    /// When the budget was last logged, in milliseconds after the start.
    logged_at: AtomicU64,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Listener {
    memory: Arc<Memory>,
    connections: Mutex<Connections>,
    open: Mutex<HashMap<Id, Weak<Connection>>>,
}

/// An accepted connection. It counts until it is dropped.
#[derive(Debug)]
pub struct Connection {
    listener: Arc<Listener>,
    id: Id,
    /// Cancelled to close the connection.
    closed: CancellationToken,
}

/// Reserved bytes, which are released on drop.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<Memory>,
    id: Id,
}

/// A request body could not be held in memory. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("the memory budget is exhausted")]
pub struct Exhausted;

impl std::error::Error for Exhausted {}

/// The use of a budget, for dumps and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The bytes that may be held.
    pub capacity: usize,
    /// The bytes that are held.
    pub used: usize,
    /// The bytes that large bodies, responses and jobs hold.
    pub used_by_large: usize,
    /// The number of bodies, responses and jobs.
    pub holders: usize,
    /// How often bytes were refused.
    pub refusals: u64,
    /// How many connections were closed because they made no progress.
    pub stalled: u64,
    /// How many connections were closed for new ones.
    pub replaced: u64,
    /// How many connections were closed at once because all others were busy.
    pub rejected: u64,
}

impl Usage {
    /// Returns the names and the values of all numbers.
    pub fn numbers(&self) -> [(&'static str, u64); 8] {
        let bytes = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        [
            ("capacity", bytes(self.capacity)),
            ("used", bytes(self.used)),
            ("large", bytes(self.used_by_large)),
            ("holders", bytes(self.holders)),
            ("refused", self.refusals),
            ("stalled", self.stalled),
            ("replaced", self.replaced),
            ("rejected", self.rejected),
        ]
    }
}

impl Bounds {
    /// Returns the bounds of settings; without them those of the host and of the operating system.
    pub fn new(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = memory_mb.map_or_else(host_memory, |megabytes| {
            usize::try_from(megabytes << 20).unwrap_or(usize::MAX)
        });
        let descriptors = descriptors.or_else(open_files_limit).unwrap_or(1024);
        Self {
            memory,
            descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
        }
    }

    fn limits(self) -> Limits {
        // The other half is for what the bytes become: copies, parsed forms, buffers of the kernel and of the allocator.
        let capacity = (self.memory.saturating_sub(BASE_BYTES) / 2).max(1 << 20);
        Limits {
            capacity,
            reserved: capacity / 8,
            small: SMALL_BYTES,
            pressed_timeout: PRESSED_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

/// Returns the memory of the host, in bytes.
fn host_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemTotal:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok())
        .map_or(FALLBACK_BYTES, |kib| kib << 10)
}

/// Returns the number of file descriptors that the operating system grants.
fn open_files_limit() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

impl Memory {
    /// Creates the budget of a process.
    pub fn new(bounds: Bounds) -> Arc<Self> {
        Arc::new(Self {
            bounds,
            started_at: Instant::now(),
            budget: Mutex::new(Budget::new(bounds.limits())),
            evictable: Mutex::default(),
            replaced: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
            logged_at: AtomicU64::new(0),
        })
    }

    /// Returns the connections of a listener for clients.
    pub fn clients(self: &Arc<Self>) -> Arc<Listener> {
        let by_memory = self.bounds.memory / 4 / CONNECTION_BYTES;
        self.listener((self.descriptors() / 3 * 2).min(by_memory))
    }

    /// Returns the connections of the listener for other nodes.
    pub fn nodes(self: &Arc<Self>) -> Arc<Listener> {
        self.listener(self.descriptors() / 3)
    }

    /// Returns the connections of a listener for operators and checks.
    pub fn operators(self: &Arc<Self>) -> Arc<Listener> {
        self.listener(RESERVED_DESCRIPTORS / 5)
    }

    fn descriptors(&self) -> usize {
        let descriptors = self.bounds.descriptors;
        descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(descriptors / 4)
    }

    fn listener(self: &Arc<Self>, max: usize) -> Arc<Listener> {
        Arc::new(Listener {
            memory: Arc::clone(self),
            connections: Mutex::new(Connections::new(max)),
            open: Mutex::default(),
        })
    }

    /// Reserves bytes for data that is kept.
    ///
    /// # Errors
    ///
    /// Fails if the budget is exhausted.
    pub fn keep(self: &Arc<Self>, bytes: usize) -> Result<Hold, Exhausted> {
        let hold = self.hold(Phase::Kept);
        hold.grow(bytes)?;
        Ok(hold)
    }

    /// Reserves bytes for data that has to be kept even if the budget is exhausted.
    pub fn keep_always(self: &Arc<Self>, bytes: usize) -> Hold {
        let hold = self.hold(Phase::Kept);
        let now = self.now();
        lock(&self.budget).force(hold.id, bytes, now);
        hold
    }

    /// Returns the use of the budget.
    pub fn usage(&self) -> Usage {
        let budget = lock(&self.budget);
        Usage {
            capacity: budget.limits().capacity,
            used: budget.used(),
            used_by_large: budget.used_by_large(),
            holders: budget.holders(),
            refusals: budget.refusals(),
            stalled: self.stalled.load(Ordering::Relaxed),
            replaced: self.replaced.load(Ordering::Relaxed),
            rejected: self.rejected.load(Ordering::Relaxed),
        }
    }

    /// Closes the connections whose clients make no progress.
    pub fn close_stalled(&self) {
        let stalled = lock(&self.budget).stalled(self.now());
        for id in stalled {
            let connection = lock(&self.evictable).get(&id).and_then(Weak::upgrade);
            if let Some(connection) = connection {
                connection.closed.cancel();
                self.stalled.fetch_add(1, Ordering::Relaxed);
                self.log("closed a connection that made no progress");
            }
        }
    }

    fn hold(self: &Arc<Self>, phase: Phase) -> Hold {
        let id = lock(&self.budget).open(phase, self.now());
        Hold {
            memory: Arc::clone(self),
            id,
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Logs an event with the use of the budget unless one was logged recently.
    fn log(&self, event: &'static str) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        let interval = u64::try_from(LOG_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        let logged_at = self.logged_at.load(Ordering::Relaxed);
        if logged_at != 0 && now < logged_at + interval {
            return;
        }
        self.logged_at.store(now.max(1), Ordering::Relaxed);
        let usage = self.usage();
        spdlog::warn!("memory budget: {}", event, kv: {
            capacity = usage.capacity,
            used = usage.used,
            large = usage.used_by_large,
            holders = usage.holders,
            refusals = usage.refusals,
            stalled = usage.stalled,
            replaced = usage.replaced,
            rejected = usage.rejected,
        });
    }
}

impl Listener {
    /// Returns the budget.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Bounds the buffers of the connections that a socket will accept.
    pub fn bound_buffers(socket: &tokio::net::TcpListener) {
        let socket = socket2::SockRef::from(socket);
        // The defaults of the operating system remain if this fails.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    }

    /// Returns a new connection, or `None` if it is to be closed.
    pub fn admit(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let admission = lock(&self.connections).admit(self.memory.now());
        let id = match admission {
            Admission::Admitted(id) => id,
            Admission::Replaced(id, victim) => {
                if let Some(victim) = lock(&self.open).get(&victim).and_then(Weak::upgrade) {
                    victim.closed.cancel();
                }
                self.memory.replaced.fetch_add(1, Ordering::Relaxed);
                self.memory.log("closed an idle connection for a new one");
                id
            }
            Admission::Rejected => {
                self.memory.rejected.fetch_add(1, Ordering::Relaxed);
                self.memory
                    .log("closed a new connection, as all others are busy");
                return None;
            }
        };
        let connection = Arc::new(Connection {
            listener: Arc::clone(self),
            id,
            closed: CancellationToken::new(),
        });
        lock(&self.open).insert(id, Arc::downgrade(&connection));
        Some(connection)
    }
}

impl Connection {
    /// Returns the connection for which the current task or call runs.
    pub fn current() -> Option<Arc<Self>> {
        CONNECTION.try_with(Arc::clone).ok()
    }

    /// Calls `function` for this connection.
    pub fn enter<T>(self: &Arc<Self>, function: impl FnOnce() -> T) -> T {
        CONNECTION.sync_scope(Arc::clone(self), function)
    }

    /// Returns the token that is cancelled to close the connection.
    pub fn closed(&self) -> &CancellationToken {
        &self.closed
    }

    /// Records that the connection has been used, so that others are closed before it.
    pub fn record_use(&self) {
        lock(&self.listener.connections).end(self.id, self.listener.memory.now());
    }

    /// Returns a holder without bytes; the connection is closed if its client makes no progress.
    pub fn hold(self: &Arc<Self>, phase: Phase) -> Hold {
        let memory = &self.listener.memory;
        let hold = memory.hold(phase);
        lock(&memory.evictable).insert(hold.id, Arc::downgrade(self));
        hold
    }

    /// Records that a request has begun, until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> OpenRequest {
        lock(&self.listener.connections).begin(self.id);
        OpenRequest {
            connection: Arc::clone(self),
            is_refused: AtomicBool::new(false),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.listener.connections).close(self.id);
        lock(&self.listener.open).remove(&self.id);
    }
}

impl Hold {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails if the budget is exhausted.
    pub fn grow(&self, bytes: usize) -> Result<(), Exhausted> {
        let grown = lock(&self.memory.budget).grow(self.id, bytes, self.memory.now());
        grown.map_err(|_| {
            self.memory.log("refused");
            Exhausted
        })
    }

    /// Sets the number of bytes.
    ///
    /// # Errors
    ///
    /// Fails if it is higher than before and the budget is exhausted.
    pub fn resize(&self, before: usize, after: usize) -> Result<(), Exhausted> {
        match after.checked_sub(before) {
            Some(0) => Ok(()),
            Some(more) => self.grow(more),
            None => {
                self.shrink(before - after);
                Ok(())
            }
        }
    }

    /// Releases some bytes.
    pub fn shrink(&self, bytes: usize) {
        lock(&self.memory.budget).shrink(self.id, bytes, self.memory.now());
    }

    /// Records that the client has taken bytes that are still held.
    pub fn touch(&self, bytes: usize) {
        lock(&self.memory.budget).touch(self.id, bytes, self.memory.now());
    }

    /// Changes what is done with the bytes.
    pub fn set_phase(&self, phase: Phase) {
        lock(&self.memory.budget).set_phase(self.id, phase, self.memory.now());
    }

    /// Returns bytes that keep this hold until their last copy is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Held { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        lock(&self.memory.budget).close(self.id);
        lock(&self.memory.evictable).remove(&self.id);
    }
}

struct Held<T, H> {
    bytes: T,
    _hold: H,
}

impl<T: AsRef<[u8]>, H> AsRef<[u8]> for Held<T, H> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A request from its head to the end of its response.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    connection: Arc<Connection>,
    is_refused: AtomicBool,
}

impl OpenRequest {
    /// Runs the handling of the request.
    pub(crate) async fn scope<F: Future>(self: Arc<Self>, future: F) -> F::Output {
        REQUEST.scope(self, future).await
    }

    /// Returns whether the request's body was refused.
    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.load(Ordering::Relaxed)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let listener = &self.connection.listener;
        lock(&listener.connections).end(self.connection.id, listener.memory.now());
    }
}

/// A response body that reserves what waits for its reader.
pub(crate) struct Reserved {
    inner: Body,
    /// The rest of a frame, which goes to the connection in pieces, and its bytes in the budget.
    pending: Option<(Bytes, Arc<Hold>)>,
    /// The bytes of a body that is in memory as a whole, until its frame is taken.
    whole: Option<Hold>,
    request: Arc<OpenRequest>,
}

impl Reserved {
    /// Wraps a body. Closes the connection if the body is in memory as a whole and can't be reserved.
    pub(crate) fn new(inner: Body, request: Arc<OpenRequest>) -> Self {
        let mut whole = None;
        if let Some(length) = inner.size_hint().exact()
            && length > UNCOUNTED_FRAME_BYTES as u64
        {
            let hold = request.connection.hold(Phase::Leaving);
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if hold.grow(length).is_err() {
                request.connection.closed.cancel();
            }
            whole = Some(hold);
        }
        Self {
            inner,
            pending: None,
            whole,
            request,
        }
    }

    fn reserve(&mut self, data: Bytes) -> Result<Bytes, Error> {
        if data.len() <= UNCOUNTED_FRAME_BYTES {
            return Ok(data);
        }
        let hold = match self.whole.take() {
            Some(hold) => hold,
            None => {
                let hold = self.request.connection.hold(Phase::Leaving);
                if let Err(error) = hold.grow(data.len()) {
                    self.request.connection.closed.cancel();
                    return Err(error.into());
                }
                hold
            }
        };
        let hold = Arc::new(hold);
        let data = Bytes::from_owner(Held {
            bytes: data,
            _hold: Arc::clone(&hold),
        });
        self.pending = Some((data, hold));
        Ok(self.next_piece().unwrap_or_default())
    }

    /// Returns the next piece of a frame, which its client takes only once it has taken the ones before.
    fn next_piece(&mut self) -> Option<Bytes> {
        let (data, hold) = self.pending.as_mut()?;
        let piece = data.split_to(data.len().min(PIECE_BYTES));
        hold.touch(piece.len());
        if data.is_empty() {
            self.pending = None;
        }
        Some(piece)
    }
}

impl HttpBody for Reserved {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(piece) = self.next_piece() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => frame,
            other => return Poll::Ready(other),
        };
        let frame = match frame.into_data() {
            Ok(data) => self.reserve(data).map(Frame::data),
            Err(trailers) => Ok(trailers),
        };
        Poll::Ready(Some(frame))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.inner.size_hint();
        if let Some((data, _)) = &self.pending {
            let waiting = data.len() as u64;
            if let Some(upper) = hint.upper() {
                hint.set_upper(upper + waiting);
            }
            hint.set_lower(hint.lower() + waiting);
        }
        hint
    }
}

/// Reads the body of a request, and reserves its bytes as they arrive.
async fn read<B>(request: &OpenRequest, body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    let declared = body.size_hint().exact();
    let mut body = std::pin::pin!(Limited::new(body, limit));
    let hold = request.connection.hold(Phase::Arriving);
    let (mut first, mut collected) = (Bytes::new(), Vec::new());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if let Err(error) = hold.grow(data.len()) {
            request.is_refused.store(true, Ordering::Relaxed);
            return Err(error.into());
        }
        append(&mut first, &mut collected, data, declared, limit);
    }
    hold.set_phase(Phase::Kept);
    match (first.is_empty(), collected.is_empty()) {
        (true, true) => Ok(Bytes::new()),
        (false, _) => Ok(hold.attach(first)),
        (true, false) => Ok(hold.attach(collected)),
    }
}

/// Reads the body of the request that the current task handles. Without a budget it is read as [`crate::body::read`] does.
///
/// # Errors
///
/// Fails as [`crate::body::read`] does, and with [`Exhausted`] if the budget has no room for the body.
pub(crate) async fn read_request<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    match REQUEST.try_with(Arc::clone) {
        Ok(request) => read(&request, body, limit).await,
        Err(_) => crate::body::read(body, limit).await,
    }
}

/// Lets a future that another task runs belong to the request that the current task handles.
pub fn for_request<F: Future>(future: F) -> impl Future<Output = F::Output> {
    let request = REQUEST.try_with(Arc::clone).ok();
    async move {
        match request {
            Some(request) => request.scope(future).await,
            None => future.await,
        }
    }
}

/// Reads the body of a response to the client of the request that the current task handles. Its bytes are reserved while they
/// arrive, and again once the response goes to the client.
///
/// # Errors
///
/// Fails as [`crate::body::read`] does. Does not return if the budget has no room, since the connection is closed then.
pub(crate) async fn read_response<B>(body: B, limit: usize) -> Result<Bytes, Error>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Error>,
{
    let Ok(request) = REQUEST.try_with(Arc::clone) else {
        return crate::body::read(body, limit).await;
    };
    let hold = request.connection.hold(Phase::Kept);
    let connection = &request.connection;
    let has_room = |bytes: usize| hold.grow(bytes).is_ok();
    let (mut first, mut collected) = (Bytes::new(), Vec::new());
    let declared = body.size_hint().exact();
    let mut body = std::pin::pin!(Limited::new(body, limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if !has_room(data.len()) {
            connection.closed.cancel();
            std::future::pending::<()>().await;
        }
        append(&mut first, &mut collected, data, declared, limit);
    }
    Ok(match collected.is_empty() {
        true => first,
        false => Bytes::from(collected),
    })
}

/// Appends data to a body, which stays as it is while it is the only one.
fn append(
    first: &mut Bytes,
    collected: &mut Vec<u8>,
    data: Bytes,
    declared: Option<u64>,
    limit: usize,
) {
    if first.is_empty() && collected.is_empty() {
        *first = data;
        return;
    }
    if collected.is_empty() {
        let whole = declared.and_then(|length| usize::try_from(length).ok());
        // Memory that was not written to is not the process's yet.
        collected.reserve_exact(whole.unwrap_or(0).min(limit));
        collected.extend_from_slice(&std::mem::take(first));
    }
    collected.extend_from_slice(&data);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
