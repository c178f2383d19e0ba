//! The platform's store loses one answer: that to a watch of a node, which tells it of a new configuration. The node goes
//! on with the former configuration.

#[path = "../kit3.rs"]
mod kit;

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Instant,
};

use kit::*;

/// When the core is stable again after the lost answer (`stableWindowMs`), and the longest stretch of the bound
/// (`outerMs`) with the bound itself (`configMs`). The check begins after the longest of what the rule allows.
const CHECK_FROM_MS: u64 = 3000 + 5000 + 2000;

/// How long requests are checked.
const CHECK_UNTIL_MS: u64 = 14_000;

fn plain_server(name: &'static str, record: Arc<Record>, runs: Arc<Mutex<Vec<(String, &'static str)>>>) -> Arc<Server> {
    Server::start(Arc::new(move |request, connection| {
        let id = request.id().to_owned();
        sleep_ms(5);
        runs.lock().unwrap().push((id.clone(), name));
        record.line(&format!("{name} ran {id}"));
        let stamp = format!("stamp-{name}-{id}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
        connection.stream.write_all(&response(200, &headers, name))?;
        Ok(Next::Keep)
    }))
}

fn routes(service: &str) -> String {
    format!(
        r#"[{{"name":"quotes","host":"{HOST}","prefix":"/quotes/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":150,
        "priority":2,"service":"{service}","maxAttempts":2}}]"#
    )
}

fn main() {
    limit_time();
    let record = Record::create();
    let has_trouble = has_trouble();
    let folder = Folder::new("14");
    let store = Store::start();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut listings = Vec::new();
    for (name, service) in [("old-0", "old"), ("old-1", "old"), ("new-0", "new"), ("new-1", "new")] {
        let server = plain_server(name, Arc::clone(&record), Arc::clone(&runs));
        listings.push(Listing::start(&store, &format!("i-{name}"), service, server.address, "[]"));
    }
    let services = r#"[{"name":"old","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},
        {"name":"new","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]"#;
    configure(&store, 7, &routes("old"), services);
    let nodes: Vec<Node> = ["colombo", "gampaha", "kalutara"]
        .iter()
        .enumerate()
        .map(|(number, zone)| Node::start(&folder.0, &format!("front-{number}"), zone, store.address, true))
        .collect();
    if let Some(node) = nodes.iter().find(|node| !node.await_ready()) {
        record.line(&format!("{} did not become ready: {}", node.id, node.log_end()));
        finish(2);
    }
    sleep_ms(6000);
    // The next version changes nothing; after it, all watches of the configuration are new.
    configure(&store, 9, &routes("old"), services);
    sleep_ms(500);

    let is_losing = Arc::new(AtomicBool::new(has_trouble));
    let lost = Arc::new(AtomicUsize::new(0));
    {
        let (is_losing, lost, record) = (Arc::clone(&is_losing), Arc::clone(&lost), Arc::clone(&record));
        store.set_losses(move |request| {
            let is_watch = request.path() == "/kv-watch" && request.query("prefix") == "op/";
            if !is_watch || !is_losing.load(Ordering::SeqCst) || lost.load(Ordering::SeqCst) > 0 {
                return false;
            }
            lost.fetch_add(1, Ordering::SeqCst);
            record.line("the store loses the answer to one watch of the configuration");
            true
        });
    }
    configure(&store, 11, &routes("new"), services);
    let acknowledged_at = Instant::now();
    record.line("the store acknowledged version 11, which moves the route from service old to service new");
    sleep_ms(300);
    is_losing.store(false, Ordering::SeqCst);

    let mut sent = 0;
    let mut stale = Vec::new();
    while acknowledged_at.elapsed() < ms(CHECK_UNTIL_MS) {
        let node = &nodes[sent % nodes.len()];
        let id = format!("q{sent}");
        let sent_at = acknowledged_at.elapsed();
        let headers = [("X-Request-Id", id.as_str()), ("X-Request-Deadline", "2000")];
        let answer = send(node.callers, "POST", "/quotes/1", &headers, b"{}", ms(2500));
        let served_by_old = answer.status == 200 && answer.body.starts_with("old");
        record.line(&format!(
            "client sent {id} to {} {} ms after the acknowledgement: {} from {:?}",
            node.id,
            sent_at.as_millis(),
            answer.status,
            answer.body
        ));
        if served_by_old && sent_at >= ms(CHECK_FROM_MS) {
            stale.push(id);
        }
        sent += 1;
        thread::sleep(ms(50));
    }
    let lost = lost.load(Ordering::SeqCst);
    record.line(&format!(
        "{} of {sent} requests that were sent over {CHECK_FROM_MS} ms after the acknowledgement were run by the former \
         service; {lost} answers of the store were lost",
        stale.len()
    ));
    drop(nodes);
    drop(folder);
    finish(match (stale.len(), has_trouble && lost == 0) {
        (_, true) => 2,
        (1.., _) => 1,
        _ => 0,
    });
}
