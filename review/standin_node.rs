//! The node processes under test, started with the command and the settings of the deploy file.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command},
    thread,
    time::{Duration, Instant},
};

use super::http;

/// The program that the deploy file builds.
const PROGRAM: &str = "target/release/shallotroute";

/// A node process. It is killed when dropped.
pub struct Node {
    pub name: String,
    /// The address for clients.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node with the role `entry`. Its settings are those of `deploy/settings.yaml` for a small
    /// deployment.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        fences_checked: bool,
    ) -> Self {
        let [callers, readiness, peers, metrics] = free_addresses();
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node:\n  id: \"{name}\"\n  region: \"lk-west\"\n  zone: \"{zone}\"\n\
             site:\n  role: \"entry\"\n  store: \"{store}\"\n  cores: 0.25\n  grace_s: 8\n  \
             retention_s: 120\n  fences_checked: {fences_checked}\n  lease_s: 3000e-3\n\
             listen:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  peers: \"{peers}\"\n  \
             metrics: \"{metrics}\"\nlog_level: info\n"
        );
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            log,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the node answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::send(
            self.readiness,
            "GET",
            "/ready",
            &[("Host", "node")],
            b"",
            timeout,
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the node is ready. Returns whether it is.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.is_ready() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a signal by its name, for instance `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
    }

    /// Waits until the process has ended, and kills it after `grace` as the platform does.
    pub fn wait_for_end(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the node's process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let append = |path: &Path| {
        File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("a file")
    };
    let log = append(log);
    let child = Command::new(PROGRAM)
        .arg("--settings")
        .arg(settings)
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file; build it first");
    // The script ends the processes by their ids if the case is stopped.
    let _ = writeln!(append(&settings.with_file_name("pids")), "{}", child.id());
    child
}

/// Returns loopback addresses with ports that are free now.
fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let listeners = [(); COUNT].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}
