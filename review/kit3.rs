//! Shared parts of the scripts of this review: JSON, HTTP/1.1, the stand-in of the platform's store,
//! servers that can crash, node processes, and the record. Only the standard library is used.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The host in all routes.
pub const HOST: &str = "desk.example";

/// The interval at which servers write their entries (`beatMs`).
pub const BEAT: Duration = Duration::from_millis(1200);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(ms(milliseconds));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; anything malformed becomes `Null`.
    pub fn parse(text: &str) -> Json {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1; // the colon
                        fields.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        b'[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(items))
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "null" => Some(Json::Null),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    skip_space(bytes, at);
    *at += 1; // the opening quote
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        text.extend(char::from_u32(code).unwrap_or('?').to_string().bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(text).ok()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|known| *known == digit) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        value.replace("%2F", "/").replace("%2f", "/")
    }
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(stream: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads a chunk of a body; empty at its end.
pub fn read_chunk(stream: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(stream)?;
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length];
    stream.read_exact(&mut chunk)?;
    read_line(stream)?;
    Ok(chunk)
}

fn read_body(stream: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        loop {
            let chunk = read_chunk(stream)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    stream.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_request(stream: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(stream)?;
    let mut words = line.split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(stream)?;
    let body = read_body(stream, &headers)?;
    Ok(Request { method, target, headers, body })
}

/// Returns the bytes of a response with a body of known length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} answer\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Returns the bytes of the head of a response whose body comes in chunks.
pub fn stream_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} answer\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Transfer-Encoding: chunked\r\n\r\n");
    text.into_bytes()
}

pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

/// A response as a client got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended before the head.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: String,
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the response. `on_chunk` gets each chunk of a streamed body.
pub fn send_streamed(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    mut on_chunk: impl FnMut(&str),
) -> Answer {
    let mut answer = Answer::default();
    let mut exchange = || -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        (&stream).write_all(head.as_bytes())?;
        (&stream).write_all(body)?;
        let mut stream = BufReader::new(stream);
        let line = read_line(&mut stream)?;
        answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        answer.headers = read_headers(&mut stream)?;
        if answer.headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
            loop {
                let chunk = read_chunk(&mut stream)?;
                if chunk.is_empty() {
                    break;
                }
                let text = String::from_utf8_lossy(&chunk).into_owned();
                on_chunk(&text);
                answer.body.push_str(&text);
            }
        } else {
            let body = read_body(&mut stream, &answer.headers)?;
            answer.body = String::from_utf8_lossy(&body).into_owned();
        }
        answer.is_complete = true;
        Ok(())
    };
    // What came before an error is in the answer.
    let _ = exchange();
    answer
}

pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    send_streamed(address, method, target, headers, body, limit, |_| {})
}

/// What a server does with a connection after a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    /// The process of the server ends: its port is closed, and all its connections.
    Crash,
}

/// One connection to a server.
pub struct Connection {
    pub stream: TcpStream,
    /// The number of earlier requests on it.
    pub earlier: usize,
    /// What the server still sends when the next response is expected.
    pub late: Vec<u8>,
}

pub type Handler = Arc<dyn Fn(&Request, &mut Connection) -> io::Result<Next> + Send + Sync>;

/// A server on a loopback port, which may crash and start again on that port.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    process: Mutex<Option<Arc<Process>>>,
}

#[derive(Default)]
struct Process {
    is_over: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Self { address, handler, process: Mutex::new(None) });
        server.serve(listener);
        server
    }

    /// Ends the process: the port refuses connections, and all connections are closed.
    pub fn crash(&self) {
        if let Some(process) = self.process.lock().unwrap().take() {
            process.is_over.store(true, Ordering::SeqCst);
            // Wakes the thread that accepts, which then closes the port.
            let _ = TcpStream::connect_timeout(&self.address, ms(100));
            for stream in process.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn restart(self: &Arc<Self>) {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.serve(listener);
            }
            sleep_ms(10);
        }
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let process = Arc::new(Process::default());
        *self.process.lock().unwrap() = Some(Arc::clone(&process));
        let server = Arc::clone(self);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                if process.is_over.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    process.connections.lock().unwrap().push(copy);
                }
                let server = Arc::clone(&server);
                thread::spawn(move || {
                    let _ = server.answer(stream);
                });
            }
        });
    }

    fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut connection = Connection { stream, earlier: 0, late: Vec::new() };
        loop {
            let request = read_request(&mut reader)?;
            let late = std::mem::take(&mut connection.late);
            connection.stream.write_all(&late)?;
            match (self.handler)(&request, &mut connection) {
                Ok(Next::Keep) => connection.earlier += 1,
                Ok(Next::Crash) => {
                    self.crash();
                    return Ok(());
                }
                Ok(Next::Close) | Err(_) => {
                    let _ = connection.stream.shutdown(Shutdown::Both);
                    return Ok(());
                }
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    history: Vec<(u64, String, Option<Entry>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The platform's store: linearizable, with leases, transactions and watches.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// Asked before each answer; the answer is lost if it returns true, and its connection returns nothing further.
    loses: Mutex<Box<dyn Fn(&Request) -> bool + Send>>,
    _server: Mutex<Option<Arc<Server>>>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Store>>>> = Arc::default();
        let for_handler = Arc::clone(&slot);
        let server = Server::start(Arc::new(move |request, connection| {
            let store = for_handler.lock().unwrap().clone().expect("the store has started");
            store.handle(request, connection)
        }));
        let store = Arc::new(Self {
            address: server.address,
            state: Mutex::new(State { revision: 10, next_lease: 1000, ..State::default() }),
            changed: Condvar::new(),
            loses: Mutex::new(Box::new(|_| false)),
            _server: Mutex::new(Some(server)),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&store));
        let leases = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                sleep_ms(50);
                leases.expire();
            }
        });
        store
    }

    pub fn set_losses(&self, loses: impl Fn(&Request) -> bool + Send + 'static) {
        *self.loses.lock().unwrap() = Box::new(loses);
    }

    /// Writes a key as the operator, a trainer or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.set(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state.lock().unwrap().entries.get(key).map(|entry| entry.value.clone())
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
    }

    /// Returns the keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.entries.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> io::Result<Next> {
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("GET", "/kv-key") => self.get(request),
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.write(request),
            _ => self.lease(request),
        };
        sleep_ms(4);
        if (self.loses.lock().unwrap())(request) {
            // The connection stays open and returns nothing further.
            loop {
                sleep_ms(60_000);
            }
        }
        let headers = [("Content-Type", "application/json")];
        connection.stream.write_all(&response(status, &headers, &body))?;
        Ok(Next::Keep)
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let key = request.query("key");
        match state.entries.get(&key) {
            Some(entry) => (200, format!("{{{},\"asOf\":{}}}", fields(&key, entry), state.revision)),
            None => (404, String::new()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let items: Vec<String> = state
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, entry)| format!("{{{}}}", fields(key, entry)))
            .collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{}}}", state.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = ms(request.query("waitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, entry)| match entry {
                    Some(entry) => format!("{{{}}}", fields(key, entry)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"asOf\":{}}}", state.revision));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn write(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expected").list();
        let revision_of = |key: &str| state.entries.get(key).map_or(0, |entry| entry.revision);
        if expected.iter().any(|row| revision_of(row.get("key").text()) != row.get("revision").number()) {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    Some(format!("{{{}}}", fields(key, state.entries.get(key)?)))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let has_ended = |row: &&Json| {
            let lease = row.get("lease").number();
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if puts.iter().find(has_ended).is_some() {
            return (404, String::new());
        }
        state.revision += 1;
        for row in puts {
            let value = base64_decode(row.get("value").text());
            state.set(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn lease(&self, request: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let id = request.path().rsplit('/').next().and_then(|text| text.parse::<u64>().ok());
        if request.path() == "/kv-lease" {
            let body = Json::parse(&String::from_utf8_lossy(&request.body));
            let ttl = body.get("ttlMs").number().clamp(1000, 600_000);
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (ms(ttl), now + ms(ttl)));
            return (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"));
        }
        let Some(lease) = id else {
            return (400, String::new());
        };
        if request.path().starts_with("/kv-lease-end/") {
            state.end_lease(lease);
            self.changed.notify_all();
            return (200, String::new());
        }
        match state.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = now + *ttl;
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => (404, String::new()),
        }
    }
}

impl State {
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.entries.get(key).map_or(self.revision, |entry| entry.created);
        let entry = Entry { value, revision: self.revision, created, lease };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push((self.revision, key.to_owned(), Some(entry)));
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = |(_, entry): &(&String, &Entry)| entry.lease == lease;
        let keys: Vec<String> =
            self.entries.iter().filter(of_lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }
}

fn fields(key: &str, entry: &Entry) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        base64_encode(&entry.value),
        entry.revision,
        entry.created,
        entry.lease
    )
}

// ---------------------------------------------------------------------------------------------
// Entries of servers

/// A server's entry in the platform's store, which it writes again at each beat.
pub struct Listing {
    store: Arc<Store>,
    id: String,
    service: String,
    address: SocketAddr,
    /// The version of the software, the time of the start, the state, and the models as JSON.
    pub software: Mutex<String>,
    pub born: AtomicU64,
    pub state: Mutex<String>,
    pub models: Mutex<String>,
    /// Whether the process runs; a process that has crashed writes nothing.
    pub is_up: AtomicBool,
    beats: AtomicU64,
}

impl Listing {
    pub fn start(store: &Arc<Store>, id: &str, service: &str, address: SocketAddr, models: &str) -> Arc<Self> {
        let listing = Arc::new(Self {
            store: Arc::clone(store),
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            software: Mutex::new("v1".to_owned()),
            born: AtomicU64::new(unix_ms()),
            state: Mutex::new("ready".to_owned()),
            models: Mutex::new(models.to_owned()),
            is_up: AtomicBool::new(true),
            beats: AtomicU64::new(1),
        });
        listing.write();
        let beating = Arc::clone(&listing);
        thread::spawn(move || {
            // Servers beat at different times.
            sleep_ms(base_number(&beating.id) % 1200);
            loop {
                if beating.is_up.load(Ordering::SeqCst) {
                    beating.write();
                }
                thread::sleep(BEAT);
            }
        });
        listing
    }

    pub fn write(&self) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"colombo\",\"version\":\"{}\",\"slots\":8,\
             \"state\":\"{}\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":{},\"seqNo\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.software.lock().unwrap(),
            self.state.lock().unwrap(),
            self.models.lock().unwrap(),
            self.beats.fetch_add(1, Ordering::SeqCst),
            self.born.load(Ordering::SeqCst),
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }
}

fn base_number(text: &str) -> u64 {
    text.bytes().fold(7, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

/// Writes a configuration: `routes` and `services` are JSON lists.
pub fn configure(store: &Store, version: u64, routes: &str, services: &str) {
    let text = format!(
        "{{\"version\":{version},\"routes\":{routes},\"services\":{services},\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &text);
}

// ---------------------------------------------------------------------------------------------
// Node processes

/// A process of the program, started as the deploy file says.
pub struct Node {
    pub id: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
}

/// Returns a free address below the ports that the system gives to outgoing connections, so that none takes it before
/// the node does.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = u64::from(std::process::id()) * 64 + NEXT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (offset % 16_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts a node with the settings of a small deployment.
    pub fn start(folder: &Path, id: &str, zone: &str, store: SocketAddr, fences_checked: bool) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        let (peers, metrics) = (free_address(), free_address());
        let text = format!(
            "node:\n  id: \"{id}\"\n  region: \"lk-west\"\n  zone: \"{zone}\"\nsite:\n  role: \"entry\"\n  \
             store: \"{store}\"\n  cores: 0.25\n  grace_s: 8\n  retention_s: 120\n  \
             fences_checked: {fences_checked}\n  lease_s: 3000e-3\n  memory_mb: 260\n  descriptors: 4100\n\
             listen:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  peers: \"{peers}\"\n  \
             metrics: \"{metrics}\"\nlog_level: info\n"
        );
        let settings = folder.join(format!("{id}.yaml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{id}.log"));
        let child = Mutex::new(spawn(&settings, &log));
        Self { id: id.to_owned(), callers, readiness, settings, log, child }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().unwrap().id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Waits until the process has ended, at most for `limit`.
    pub fn wait(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_))) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Starts the process again after it has ended.
    pub fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.log);
    }

    pub fn await_ready(&self) -> bool {
        let end = Instant::now() + ms(15_000);
        while Instant::now() < end {
            if send(self.readiness, "GET", "/ready", &[], b"", ms(1000)).status == 200 {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Returns the end of the log.
    pub fn log_end(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.join(" | ")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The processes that have been started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script with a code after at most 115 s, whatever happens.
pub fn limit_time() {
    thread::spawn(|| {
        sleep_ms(115_000);
        finish(2);
    });
}

/// Ends all processes that were started, then the script with a code.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    std::process::exit(code);
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let open = || File::options().create(true).append(true).open(log).expect("the log can be opened");
    let child = Command::new("target/release/shallotroute")
        .arg("--settings")
        .arg(settings)
        .env("SHALLOTROUTE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(open())
        .stderr(open())
        .spawn()
        .expect("the program has been built");
    STARTED.lock().unwrap().push(child.id());
    child
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The record

/// The file with what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates the record of a case in its folder, which is the first argument of the program.
    pub fn create() -> Arc<Self> {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(Path::new(&folder).join("record.txt")).expect("a record");
        Arc::new(Self { file: Mutex::new(file), started_at: Instant::now() })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Returns whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Reads a whole stream to its end, for connections that only have to stay open.
pub fn drain(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {}
}
