//! A reward call is answered with 500 once, and a second copy of that answer comes late, on the same connection, where
//! the next answer is expected. The next answer there is the one to the second attempt of the same call.

#[path = "../kit3.rs"]
mod kit;

use std::{
    collections::HashMap,
    io::Write,
    sync::{Arc, Mutex},
};

use kit::*;

/// The attempts of a reward call, by the configuration. Two answers of 500 may end an item, one may not.
const MAX_ATTEMPTS: usize = 2;

/// The number of batch jobs, of one item each, one after the other.
const JOBS: usize = 6;

/// The number of ordinary requests before each job. Half of them go to the node that runs the jobs, so that one answer in
/// 36 of the faulty server is repeated.
const REQUESTS: usize = 68;

/// The number of reward servers, of which one is faulty.
const SERVERS: usize = 7;

/// What the reward servers have answered to each call.
type Answers = Arc<Mutex<HashMap<String, Vec<u16>>>>;

fn reward_server(
    name: String,
    answers: Answers,
    runs: Arc<Mutex<HashMap<String, String>>>,
    faulty: Arc<Mutex<String>>,
    record: Arc<Record>,
    has_trouble: bool,
) -> Arc<Server> {
    Server::start(Arc::new(move |request, connection| {
        let id = request.id().to_owned();
        let earlier = answers.lock().unwrap().get(&id).map_or(0, Vec::len);
        sleep_ms(20);
        runs.lock().unwrap().insert(id.clone(), name.clone());
        let is_faulty = *faulty.lock().unwrap() == name;
        // The faulty server fails each reward call at its first run, which is one request in 36.
        let status = if is_faulty && earlier == 0 && id.starts_with("call") { 500 } else { 200 };
        answers.lock().unwrap().entry(id.clone()).or_default().push(status);
        let stamp = format!("stamp-{name}-{id}-{earlier}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str())];
        let bytes = response(status, &headers, "reward");
        connection.stream.write_all(&bytes)?;
        record.line(&format!("{name} ran reward call {id} (run {}) and answered {status}", earlier + 1));
        if status == 500 && has_trouble {
            // The second copy goes out when the next request has come in on this connection.
            connection.late = bytes;
            record.line(&format!("{name} holds a second copy of the answer to {id}"));
        }
        Ok(Next::Keep)
    }))
}

fn model_server(record: Arc<Record>) -> Arc<Server> {
    Server::start(Arc::new(move |request, connection| {
        let id = request.id().to_owned();
        record.line(&format!("model server ran item {id}"));
        let stamp = format!("stamp-{id}");
        let headers =
            [("X-Request-Id", id.as_str()), ("X-Server-Stamp", stamp.as_str()), ("X-Weight-Versions", "1")];
        connection.stream.write_all(&stream_head(200, &headers))?;
        for number in 1..=5 {
            sleep_ms(10);
            connection.stream.write_all(&chunk(&format!("id: {number}\ndata: {id}-{number}\n\n")))?;
        }
        connection.stream.write_all(&chunk(""))?;
        Ok(Next::Keep)
    }))
}

fn main() {
    limit_time();
    let record = Record::create();
    let has_trouble = has_trouble();
    let folder = Folder::new("11");
    let store = Store::start();
    let answers = Answers::default();
    let model = r#"[{"name":"m","version":1,"adapters":[]}]"#;
    let mut listings = Vec::new();
    for number in 0..2 {
        let server = model_server(Arc::clone(&record));
        listings.push(Listing::start(&store, &format!("i-llm-{number}"), "llm", server.address, model));
    }
    let runs: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let faulty: Arc<Mutex<String>> = Arc::default();
    for number in 0..SERVERS {
        let name = format!("desk-{number}");
        let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
        let (runs, faulty) = (Arc::clone(&runs), Arc::clone(&faulty));
        let server = reward_server(name.clone(), answers, runs, faulty, record, has_trouble);
        listings.push(Listing::start(&store, &format!("i-{name}"), "desk", server.address, "[]"));
    }
    let routes = format!(
        r#"[{{"name":"rolls","host":"{HOST}","prefix":"/rolls/","kind":"rollout","timeoutMs":10000,"targetLatencyMs":500,
        "priority":1,"service":"llm","maxAttempts":3,"dueMs":7500,"maxQueueS":60}},
        {{"name":"rates","host":"{HOST}","prefix":"/rates/","kind":"safe","timeoutMs":1500,"targetLatencyMs":150,
        "priority":2,"service":"desk","maxAttempts":{MAX_ATTEMPTS}}}]"#
    );
    let services = r#"[{"name":"llm","healthPath":"/healthz","maxConns":150,"protocol":"h1","tls":false,
        "engine":{"slots":8,"models":[{"name":"m"}]}},
        {"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]"#;
    configure(&store, 7, &routes, services);
    let nodes: Vec<Node> = ["colombo", "gampaha"]
        .iter()
        .enumerate()
        .map(|(number, zone)| Node::start(&folder.0, &format!("front-{number}"), zone, store.address, true))
        .collect();
    if let Some(node) = nodes.iter().find(|node| !node.await_ready()) {
        record.line(&format!("{} did not become ready: {}", node.id, node.log_end()));
        finish(2);
    }
    sleep_ms(1500);

    let mut broken = 0;
    let mut completed = 0;
    let request = |number: usize| {
        let id = format!("plain{number}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Request-Deadline", "1500")];
        send(nodes[number % 2].callers, "POST", "/rates/plain", &headers, b"{}", ms(2000));
    };
    for job in 0..JOBS {
        let node = &nodes[0];
        (job * REQUESTS..(job + 1) * REQUESTS).for_each(request);
        let (id, item, call) = (format!("job{job}"), format!("item{job}"), format!("call{job}"));
        let body = format!(
            r#"{{"step":{job},"model":"m","minVersion":1,"groupCount":1,"items":[{{"id":"{item}","path":"/rolls/{item}",
            "headers":{{"X-Model":"m","X-Token-Usage":"16,5"}},"body":"","tokens":21,"group":"g{job}",
            "scorer":{{"id":"{call}","host":"{HOST}","path":"/rates/{call}","body":""}}}}]}}"#
        );
        let submitted = send(
            node.callers,
            "POST",
            "/rolls/submit",
            &[("X-Request-Id", &id), ("Content-Type", "application/json")],
            body.as_bytes(),
            ms(3000),
        );
        record.line(&format!("trainer submitted {id} at {}: {}", node.id, submitted.status));
        let mut state = String::new();
        for _ in 0..16 {
            let headers = [("X-Request-Id", id.as_str()), ("X-Max-Wait", "500")];
            let page = send(node.callers, "GET", &format!("/lots/{id}?after=0"), &headers, b"", ms(3000));
            let page_body = Json::parse(&page.body);
            if let Some(result) = page_body.get("results").list().first() {
                state = result.get("state").text().to_owned();
                record.line(&format!("trainer read of {id}: {}", page.body));
                break;
            }
        }
        let given = answers.lock().unwrap().get(&call).cloned().unwrap_or_default();
        let failed = given.iter().filter(|status| **status == 500).count();
        record.line(&format!("{item} is {state:?}; its reward call got {given:?}: {failed} answers of 500"));
        match state.as_str() {
            "abandoned" if failed < MAX_ATTEMPTS => broken += 1,
            "completed" => completed += 1,
            _ => {}
        }
        if job == 0 {
            // The server that the node of the jobs prefers is the faulty one from here on.
            *faulty.lock().unwrap() = runs.lock().unwrap().get(&call).cloned().unwrap_or_default();
            record.line(&format!("{} is the faulty server", faulty.lock().unwrap()));
        }
        send(node.callers, "DELETE", &format!("/lots/{id}"), &[("X-Request-Id", &id)], b"", ms(3000));
    }
    record.line(&format!(
        "{completed} of {JOBS} items completed; {broken} abandoned before {MAX_ATTEMPTS} answers of 500"
    ));
    drop(nodes);
    drop(folder);
    finish(match (broken, completed) {
        (1.., _) => 1,
        (0, 0) => 2,
        _ => 0,
    });
}
