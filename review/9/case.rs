//! The store turns a third of the machines away, and serves the others. A change of the configuration must reach the
//! others in time.

#[path = "../6/standin.rs"]
mod standin;

use std::{
    collections::BTreeSet,
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::ExitCode,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use standin::{
    Gate, HOST, Json, Node, Record, Store, await_ready, has_trouble, read_body, read_head, send, serve, temporary_folder,
    unix_ms, write_message,
};

/// The machines of each zone.
const ZONES: [(&str, usize); 3] = [("colombo", 11), ("gampaha", 10), ("kalutara", 10)];

/// The share of machines that the store may turn away, in percent, and for how long.
const MAX_SHARE: usize = 33;
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// The bounds `configMs` and `beatMs`.
const CONFIG: Duration = Duration::from_secs(3);
const BEAT: Duration = Duration::from_millis(1200);

/// How long the nodes run before the disruption.
const SETTLING: Duration = Duration::from_secs(12);

/// The time between two requests to one node on the new route.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

fn serve_connection(stream: std::net::TcpStream, id: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = std::io::BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        read_body(&head, &mut reader)?;
        let request = head.header("x-request-id").unwrap_or_default();
        let stamp = format!("{id}.{request}");
        let headers = [("X-Request-Id", request), ("X-Server-Stamp", stamp.as_str()), ("X-Instance-Id", id)];
        write_message(&mut writer, "HTTP/1.1 200 OK", &headers, b"price")?;
        writer.flush()?;
    }
    Ok(())
}

/// Returns a configuration, whose second version has one route more.
fn configuration(version: u64) -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"safe\",\"timeoutMs\":2000,\
             \"targetLatencyMs\":150,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}}"
        )
    };
    let routes = match version {
        1 => route("quotes"),
        _ => format!("{},{}", route("quotes"), route("rates")),
    };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends a request on the new route, and returns the status; 0 without an answer.
fn probe(node: SocketAddr, id: &str) -> u16 {
    let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Request-Deadline", "1500")];
    let answer = send(node, "POST /rates/1 HTTP/1.1", &headers, b"rate", Duration::from_secs(2));
    answer.map_or(0, |(head, _)| head.status())
}

fn main() -> ExitCode {
    let record = Record::new(Path::new("review/9/record.txt"));
    record.line(format!("disruption: {}", has_trouble()));
    let folder = temporary_folder("review-9");
    let store = Store::start();
    store.put("op/config", &configuration(1));
    let servers: Vec<(String, SocketAddr)> = (0..3)
        .map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback address should be free");
            let address = listener.local_addr().expect("a listener has an address");
            let id = format!("i-desk-{number}");
            let served = id.clone();
            serve(listener, move |stream| {
                // A node that goes away ends its connection.
                let _ = serve_connection(stream, &served);
            });
            (id, address)
        })
        .collect();
    let (beating_store, born) = (Arc::clone(&store), unix_ms());
    let beat = move |number: u64| {
        for (id, address) in &servers {
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"colombo\",\"version\":\"v1\",\"slots\":6,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"born\":{born},\"seqNo\":{number}}}"
            );
            beating_store.put(&format!("servers/{id}"), &entry);
        }
    };
    beat(0);
    thread::spawn(move || {
        for number in 1.. {
            thread::sleep(BEAT);
            beat(number);
        }
    });
    let (mut nodes, mut gates) = (Vec::new(), Vec::new());
    for (zone, count) in ZONES {
        for number in 1..=count {
            let gate = store.open_gate();
            nodes.push(Node::start(&format!("front-{zone}-{number}"), zone, gate.address, &folder, 160));
            gates.push(gate);
        }
    }
    let verdict = match await_ready(&nodes, &record) {
        true => run(&nodes, &gates, &store, &folder, &record),
        false => ExitCode::from(2),
    };
    drop(nodes);
    // The logs of the nodes are of no use after the run.
    let _ = fs::remove_dir_all(&folder);
    verdict
}

/// Returns the machines from which others follow the store now, as the logs of all say, by index.
fn find_sources(nodes: &[Node], folder: &Path) -> Vec<usize> {
    let mut sources = BTreeSet::new();
    for node in nodes {
        let log = fs::read_to_string(folder.join(format!("{}.log", node.name))).unwrap_or_default();
        let lines = log.lines().filter_map(|line| Json::parse(line.as_bytes()));
        let changes = ["following a source", "watching the platform store"];
        let last = lines.filter(|line| changes.contains(&line.get("payload").text())).last();
        // A node that watches the store has no source.
        let source = last.map(|line| line.get("kv").get("source").text().to_owned());
        sources.extend(source.filter(|source| !source.is_empty()));
    }
    (0..nodes.len()).filter(|index| sources.contains(&nodes[*index].name)).collect()
}

fn run(nodes: &[Node], gates: &[Arc<Gate>], store: &Store, folder: &Path, record: &Record) -> ExitCode {
    thread::sleep(SETTLING);
    let sources = find_sources(nodes, folder);
    let names: Vec<&str> = sources.iter().map(|index| nodes[*index].name.as_str()).collect();
    record.line(format!("others follow {} of {} machines: {names:?}", sources.len(), nodes.len()));
    if sources.len() * 100 > nodes.len() * MAX_SHARE {
        record.line("could not run: these are more machines than the store may turn away");
        return ExitCode::from(2);
    }
    if has_trouble() {
        sources.iter().for_each(|index| gates[*index].is_closed.store(true, Ordering::Relaxed));
        record.line("the store answers 503 to these");
    }
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", &configuration(2));
    let acknowledged_at = Instant::now();
    record.line("version 2 with one route more is acknowledged");
    let in_touch: Vec<&Node> =
        nodes.iter().enumerate().filter(|(index, _)| !sources.contains(index)).map(|(_, node)| node).collect();
    let probes: Vec<_> = in_touch
        .iter()
        .map(|node| {
            let (name, address) = (node.name.clone(), node.callers);
            thread::spawn(move || probe_node(&name, address, acknowledged_at))
        })
        .collect();
    let results: Vec<(String, usize, Option<Duration>)> =
        probes.into_iter().filter_map(|probe| probe.join().ok()).collect();
    sources.iter().for_each(|index| gates[*index].is_closed.store(false, Ordering::Relaxed));
    let mut late = 0;
    for (name, refused, since) in &results {
        late += refused;
        let since = since.map_or_else(|| "not".to_owned(), |since| format!("after {:.1} s", since.as_secs_f64()));
        record.line(format!("{name}: served the new route {since}; {refused} requests refused with 404 too late"));
    }
    record.line(format!("{late} requests refused with 404 later than configMs by machines that the store serves"));
    if results.iter().all(|(_, _, since)| since.is_none()) && !has_trouble() {
        record.line("could not run: no machine served the new route");
        return ExitCode::from(2);
    }
    match late {
        0 => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        _ => {
            record.line("CONFIG is broken");
            ExitCode::from(1)
        }
    }
}

/// Sends requests on the new route to one node while machines are turned away. Returns its name, the number of requests
/// that were sent after `configMs` and refused with 404, and when the first was served.
fn probe_node(name: &str, address: SocketAddr, acknowledged_at: Instant) -> (String, usize, Option<Duration>) {
    let (mut refused, mut served) = (0, None);
    for number in 0.. {
        let sent = acknowledged_at.elapsed();
        if sent + Duration::from_secs(1) >= TURNED_AWAY {
            break;
        }
        match probe(address, &format!("probe-{name}-{number}")) {
            200 if served.is_none() => served = Some(sent),
            404 if sent > CONFIG => refused += 1,
            _ => {}
        }
        thread::sleep(PROBE_INTERVAL);
    }
    (name.to_owned(), refused, served)
}
