//! The platform's key-value store: linearizable reads, conditional transactions, watches and leases.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{
    base64,
    http::{Request, read_request, write_response},
    json::Value,
};

/// The time in which the store answers, as the pages give it.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Entry {
    /// The value as Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// Changes by revision; `None` is a removal.
    history: Vec<(u64, String, Option<Entry>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    is_down: bool,
}

/// A store that listens on a loopback address.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire_leases();
            }
        });
        store
    }

    /// Writes a key, as the operator, a trainer or a sampler does. They reach the store at all times.
    pub fn put(&self, key: &str, json: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(json.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Sets whether the store refuses all calls with 503. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        if state.is_down && !is_down {
            let now = Instant::now();
            for (ttl, expires_at) in state.leases.values_mut() {
                *expires_at = now + *ttl;
            }
        }
        state.is_down = is_down;
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        let now = Instant::now();
        let is_over = |(_, (_, at)): &(&u64, &(Duration, Instant))| now >= *at;
        let expired: Vec<u64> = state
            .leases
            .iter()
            .filter(is_over)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            state.end_lease(lease);
        }
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            thread::sleep(RESPONSE_TIME);
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if self.state.lock().unwrap().is_down {
            return (503, String::new());
        }
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value);
            value.unwrap_or_default().to_owned()
        };
        match path {
            "/kv-key" => self.get(&parameter("key")),
            "/kv-range" => self.range(&parameter("prefix"), &parameter("after")),
            "/kv-watch" => self.watch(
                &parameter("prefix"),
                parameter("after").parse().unwrap_or(0),
                Duration::from_millis(parameter("waitMs").parse().unwrap_or(0)),
            ),
            "/kv-txn" => self.write(&Value::parse(&request.body)),
            "/kv-lease" => self.grant(&Value::parse(&request.body)),
            _ => self.renew_or_end(path),
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.entries.get(key) {
            Some(entry) => (200, item(key, entry)),
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, entry)| item(key, entry)).collect();
        let page = &items[..items.len().min(500)];
        let has_more = items.len() > page.len();
        let (items, as_of) = (page.join(","), state.revision);
        (
            200,
            format!(r#"{{"items":[{items}],"hasMore":{has_more},"asOf":{as_of}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_down {
                return (503, String::new());
            }
            let found = state
                .history
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = found
                .map(|(revision, key, entry)| match entry {
                    Some(entry) => item(key, entry),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, transaction: &Value) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let conditions = transaction.get("expected").list();
        let revision_of =
            |state: &State, key: &str| state.entries.get(key).map_or(0, |entry| entry.revision);
        let holds = |row: &Value| {
            revision_of(&state, row.get("key").text()) == row.get("revision").number()
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item(key, state.entries.get(key)?)));
            let items = items.collect::<Vec<String>>().join(",");
            return (412, format!(r#"{{"items":[{items}]}}"#));
        }
        let puts = transaction.get("puts").list();
        let has_lease = |row: &Value| {
            let lease = row.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, String::new());
        }
        state.revision += 1;
        for row in puts {
            state.put(
                row.get("key").text(),
                row.get("value").text().to_owned(),
                row.get("lease").number(),
            );
        }
        for key in transaction.get("deletes").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }

    fn grant(&self, body: &Value) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let ttl = Duration::from_millis(body.get("ttlMs").number().max(1000));
        state.revision += 1;
        let lease = state.revision;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (
            200,
            format!(r#"{{"lease":{lease},"ttlMs":{}}}"#, ttl.as_millis()),
        )
    }

    fn renew_or_end(&self, path: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        if path.starts_with("/kv-keep/") {
            let Some((ttl, expires_at)) = state.leases.get_mut(&lease) else {
                return (404, String::new());
            };
            *expires_at = Instant::now() + *ttl;
            return (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()));
        }
        state.end_lease(lease);
        self.changed.notify_all();
        (200, String::new())
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .entries
            .get(key)
            .map_or(self.revision, |entry| entry.created);
        let entry = Entry {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(entry)));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self
            .entries
            .iter()
            .filter(|(_, entry)| lease != 0 && entry.lease == lease);
        for key in bound.map(|(key, _)| key.clone()).collect::<Vec<String>>() {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn item(key: &str, entry: &Entry) -> String {
    let Entry {
        value,
        revision,
        created,
        lease,
    } = entry;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}
