//! The listener of a sampler, its crashes and its entry in the store. What it does with a request is up to each
//! case.

use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use super::{
    http::{Request, read_request},
    store::Store,
    unix_ms,
};

/// How often a sampler's listener is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The time after which the platform removes the entry of a sampler that is silent: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3600);

/// A sampler's listener and its open connections.
pub struct Sampler {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub address: SocketAddr,
    /// The Unix time of its start, in milliseconds.
    born: AtomicU64,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    load: Mutex<Load>,
    has_free_slot: Condvar,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A slot of a sampler, which is free again when this is dropped.
pub struct Slot<'a>(&'a Sampler);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.load.lock().unwrap().running -= 1;
        self.0.has_free_slot.notify_one();
    }
}

/// Answers one request on a connection. The connection is closed if it returns `false`.
pub type Handler = dyn Fn(&Sampler, Request, &mut TcpStream) -> bool + Send + Sync;

impl Sampler {
    /// Starts a sampler. `connected` returns the handler of the requests on a new connection.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        connected: impl Fn() -> Box<Handler> + Send + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let sampler = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr().expect("an address"),
            born: AtomicU64::new(unix_ms()),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            load: Mutex::default(),
            has_free_slot: Condvar::new(),
        });
        let serving = Arc::clone(&sampler);
        thread::spawn(move || serving.listen(listener, &connected));
        sampler
    }

    /// Waits for a slot, in which one request runs at a time. Returns `None` if so many requests as `queue` wait
    /// already; the sampler then rejects the request.
    pub fn take_slot(&self, queue: usize) -> Option<Slot<'_>> {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.slots {
            if load.waiting >= queue {
                return None;
            }
            load.waiting += 1;
            while load.running >= self.slots {
                load = self.has_free_slot.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        Some(Slot(self))
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Crashes the sampler and starts it again under its id after `period`, which is longer than its entry lives.
    /// Meanwhile its connections are broken and new ones refused.
    pub fn crash(&self, store: &Store, models: &str, period: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(ENTRY_LIFETIME);
        store.remove(&format!("servers/{}", self.id));
        thread::sleep(period.saturating_sub(ENTRY_LIFETIME));
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        thread::sleep(POLL_INTERVAL * 2);
        self.register(store, models);
    }

    /// Writes the sampler's entry into the store, as at its start. `models` is the JSON list of its models.
    pub fn register(&self, store: &Store, models: &str) {
        let Self {
            id,
            service,
            zone,
            slots,
            address,
            ..
        } = self;
        let born = self.born.load(Ordering::SeqCst);
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldLeftMs":0,"stage":"both","models":{models},"seqNo":1,"born":{born}}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn listen(self: Arc<Self>, listener: TcpListener, connected: &dyn Fn() -> Box<Handler>) {
        let mut listener = Some(listener);
        loop {
            thread::sleep(POLL_INTERVAL);
            if self.is_down() {
                listener = None;
                continue;
            }
            let listener = listener
                .get_or_insert_with(|| TcpListener::bind(self.address).expect("its address"));
            listener.set_nonblocking(true).expect("a socket");
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("a socket");
                let (sampler, handler) = (Arc::clone(&self), connected());
                thread::spawn(move || sampler.serve(stream, &*handler));
            }
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(mut writer)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().unwrap().push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !handler(self, request, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }
}
