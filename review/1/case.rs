//! Samplers send a second copy of some of their answers, late: where the answer to the next request on the
//! connection is expected. Requests of an `unsafe` route may still run once at most, and none that is answered with
//! 503 may run.

#[path = "../standin.rs"]
mod standin;

use std::{
    collections::BTreeMap,
    env,
    io::Write,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use standin::{
    http::{self, write_response},
    node::Node,
    record::Record,
    sampler::{Handler, Sampler},
    store::Store,
};

const SAMPLERS: usize = 5;

/// The samplers that send second answers: the share 0.6.
const FAULTY: usize = 3;

/// A faulty sampler sends one of so many answers twice: the share 0.029, below 0.03.
const ANSWERS_PER_EXTRA: usize = 34;

/// The length of the disruption, and the pause before it comes again.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(4);
const ROUNDS: usize = 6;

/// The requests that a sampler runs at a time, and those that it queues; it rejects more.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(150);

const CLIENTS: usize = 36;

const HOST: &str = "ficu95.example";
const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"orders","host":"ficu95.example","prefix":"/orders/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":800,"priority":2,"service":"quote-desk","maxAttempts":2}],"services":[{"name":"quote-desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What the samplers share.
struct Service {
    record: Record,
    /// Whether the faulty samplers send second answers now.
    has_extras: AtomicBool,
    /// The number of second answers that were rejections.
    extra_rejections: AtomicUsize,
    /// The samplers that have run each request.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
}

fn main() {
    let folder = env::args().nth(1).expect("a temporary folder");
    let folder = Path::new(&folder);
    let has_trouble = standin::has_trouble();
    let record = Record::create(&env::args().nth(2).expect("the record's path"));
    let store = Store::start();
    store.put("op/config", CONFIGURATION);
    let service = Arc::new(Service {
        record: record.clone(),
        has_extras: AtomicBool::new(false),
        extra_rejections: AtomicUsize::new(0),
        runs: Mutex::default(),
    });
    for number in 0..SAMPLERS {
        let (service, answers) = (Arc::clone(&service), Arc::new(AtomicUsize::new(0)));
        let connected =
            move || connection_handler(Arc::clone(&service), Arc::clone(&answers), number < FAULTY);
        let zone = ["colombo", "gampaha", "kalutara"][number % 3];
        Sampler::start(&format!("i-{number}"), "quote-desk", zone, SLOTS, connected)
            .register(&store, "[]");
    }
    let nodes: Vec<Node> = ["colombo", "gampaha", "kalutara"]
        .iter()
        .map(|zone| {
            Node::start(
                folder,
                &format!("front-{zone}-1"),
                zone,
                store.address,
                true,
            )
        })
        .collect();
    if !nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(15)))
    {
        record.say("the nodes did not become ready");
        exit(2);
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, record) = (nodes[client % nodes.len()].callers, record.clone());
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || run_client(client, address, &record, &has_ended))
        })
        .collect();
    for _ in 0..ROUNDS {
        thread::sleep(PAUSE);
        service.has_extras.store(has_trouble, Ordering::SeqCst);
        record.line(if has_trouble {
            "second answers begin"
        } else {
            "no second answers"
        });
        thread::sleep(TROUBLE_TIME);
        service.has_extras.store(false, Ordering::SeqCst);
        record.line("second answers end");
    }
    has_ended.store(true, Ordering::SeqCst);
    let mut statuses: BTreeMap<String, u16> = BTreeMap::new();
    for client in clients {
        statuses.extend(client.join().expect("a client"));
    }
    drop(nodes);
    judge(&record, &service, &statuses);
}

/// Checks the rules TWICE and REFUSED, and ends the process.
fn judge(record: &Record, service: &Service, statuses: &BTreeMap<String, u16>) {
    let runs = service.runs.lock().unwrap();
    let (mut twice, mut refused) = (0, 0);
    for (id, samplers) in runs.iter() {
        let status = statuses.get(id).copied().unwrap_or(0);
        if samplers.len() > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran at {}, answered {status}",
                samplers.join(" and ")
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} ran at {}, answered {status}",
                samplers.join(" and ")
            ));
        }
    }
    let count = |status: u16| statuses.values().filter(|other| **other == status).count();
    record.say(&format!(
        "{} requests: {} answered 200, {} 502, {} 503; {} second answers were rejections; {twice} requests ran twice, {refused} ran and were refused",
        statuses.len(),
        count(200),
        count(502),
        count(503),
        service.extra_rejections.load(Ordering::SeqCst),
    ));
    if twice + refused > 0 {
        record.say("TWICE or REFUSED is broken");
        exit(1);
    }
    if count(200) == 0 {
        exit(2);
    }
    record.say("TWICE and REFUSED held");
}

/// Sends one request after the other, each on a new connection. Returns the status of each; 0 without an answer.
fn run_client(
    client: usize,
    address: SocketAddr,
    record: &Record,
    has_ended: &AtomicBool,
) -> Vec<(String, u16)> {
    let mut statuses = Vec::new();
    for number in 0.. {
        if has_ended.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{client:04x}{number:012x}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &id),
            ("X-Request-Deadline", "3000"),
            ("Connection", "close"),
        ];
        let target = format!("/orders/{id}");
        let answer = http::send(
            address,
            "POST",
            &target,
            &headers,
            id.as_bytes(),
            Duration::from_secs(4),
        );
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(&format!("client {client} sent {id}: {status}"));
        statuses.push((id, status));
        if status == 503 {
            // As the answer's `Retry-After` says.
            thread::sleep(Duration::from_millis(200));
        }
    }
    statuses
}

/// Returns the handler of one connection to a sampler.
fn connection_handler(
    service: Arc<Service>,
    answers: Arc<AtomicUsize>,
    is_faulty: bool,
) -> Box<Handler> {
    // The second answer that is sent before the answer to the next request.
    let extra: Mutex<Option<(u16, String)>> = Mutex::default();
    Box::new(move |sampler, request, stream| {
        let id = request
            .header("X-Request-Id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("X-Expect-Instance")
            .is_some_and(|expected| expected != sampler.id)
        {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return write_response(stream, 421, &headers, b"").is_ok();
        }
        // Only while the disruption lasts.
        let repeated = extra.lock().unwrap().take();
        let repeated = repeated.filter(|_| service.has_extras.load(Ordering::SeqCst));
        let has_extra = repeated.is_some();
        if let Some((status, of)) = repeated {
            service.record.line(&format!(
                "{} sends its answer {status} to {of} again, before that to {id}",
                sampler.id
            ));
            if status == 503 {
                service.extra_rejections.fetch_add(1, Ordering::SeqCst);
            }
            if write_answer(stream, status, &of).is_err() {
                return false;
            }
        }
        let status = match sampler.take_slot(QUEUE) {
            None => 503,
            Some(_slot) => {
                service.record.line(&format!("{} runs {id}", sampler.id));
                let mut runs = service.runs.lock().unwrap();
                runs.entry(id.clone()).or_default().push(sampler.id.clone());
                drop(runs);
                thread::sleep(WORK);
                200
            }
        };
        let number = answers.fetch_add(1, Ordering::SeqCst);
        if is_faulty
            && !has_extra
            && service.has_extras.load(Ordering::SeqCst)
            && number % ANSWERS_PER_EXTRA == 0
        {
            *extra.lock().unwrap() = Some((status, id.clone()));
        }
        write_answer(stream, status, &id).is_ok()
    })
}

/// Writes the answer of a sampler that has run a request, or has rejected it because it is full.
fn write_answer(stream: &mut impl Write, status: u16, id: &str) -> std::io::Result<()> {
    match status {
        503 => write_response(
            stream,
            503,
            &[("X-Request-Id", id), ("X-Not-Executed", "1")],
            b"",
        ),
        _ => write_response(
            stream,
            200,
            &[("X-Request-Id", id), ("X-Server-Stamp", "3e1b.200")],
            id.as_bytes(),
        ),
    }
}
