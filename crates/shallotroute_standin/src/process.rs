//! Node processes, which end with the value that started them.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use derive_more::Deref;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub id: String,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
    /// The address for callers and trainers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other nodes.
    pub peers: SocketAddr,
    /// The addresses at which it first looks for other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The key of datagrams between nodes, 64 hexadecimal digits.
    pub peer_key: String,
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The operators' names and keys.
    pub operators: Vec<(String, String)>,
    /// The level of the log.
    pub log_level: String,
}

impl Settings {
    /// Returns the settings file.
    pub fn to_yaml(&self) -> String {
        let operators: Vec<_> = self
            .operators
            .iter()
            .map(|(name, key)| json!({ "name": name, "key_hash": hash_key(key) }))
            .collect();
        let value = json!({
            "node": { "id": self.id, "region": self.region, "zone": self.zone },
            "listen": { "callers": self.callers, "admin": self.admin, "peers": self.peers },
            "peers": { "seeds": self.seeds, "key": self.peer_key },
            "platform": { "store": self.store, "hosts": self.hosts },
            "operators": operators,
            "log": { "level": self.log_level },
        });
        serde_yaml_ng::to_string(&value).expect("a JSON value should have a YAML form")
    }
}

/// Returns the hash of a key as settings and callers' objects hold it.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// A process that ends with the value that started it.
#[derive(Debug)]
pub struct Process {
    id: String,
    text: String,
    binary: PathBuf,
    file: PathBuf,
    log: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
}

/// A node process with the product's own interface; dropping it kills it.
#[derive(Debug, Deref)]
pub struct Node {
    #[deref]
    process: Process,
    settings: Settings,
}

/// How often the end of a process is checked.
const POLL: Duration = Duration::from_millis(5);

/// Clock ticks a second in `/proc`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;

impl Node {
    /// Writes the settings file into `folder` and starts the process.
    ///
    /// # Errors
    ///
    /// As for [`Process::start`].
    pub fn start(binary: &Path, settings: Settings, folder: &Path) -> io::Result<Self> {
        let process = Process::start(binary, &settings.id, settings.to_yaml(), folder)?;
        Ok(Self { process, settings })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}

impl Process {
    /// Writes the text of a settings file into `folder` and starts the node program with it.
    ///
    /// # Errors
    ///
    /// The folder can't be written or the program can't be started.
    pub fn start(binary: &Path, id: &str, text: String, folder: &Path) -> io::Result<Self> {
        let process = Self {
            id: id.to_owned(),
            text,
            binary: binary.to_owned(),
            file: folder.join(format!("{id}.yaml")),
            log: folder.join(format!("{id}.log")),
            output: folder.join(format!("{id}.out")),
            child: Mutex::new(None),
        };
        process.restart()?;
        Ok(process)
    }

    /// Returns the node's name.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Starts the process again after it ended.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn restart(&self) -> io::Result<()> {
        fs::write(&self.file, &self.text)?;
        let append = |path| File::options().create(true).append(true).open(path);
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(append(&self.output)?)
            .stderr(append(&self.log)?)
            .spawn()?;
        let before = self.lock().replace(child);
        if let Some(mut before) = before {
            end(&mut before);
        }
        Ok(())
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().take() {
            end(&mut child);
        }
    }

    /// Stops the process in place.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to finish its work and to end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process; none when it runs on after `limit`.
    pub async fn wait_for_exit(&self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        loop {
            let status = self.status();
            if status.is_some() || started.elapsed() > limit {
                return status;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the processor time that the process has used.
    pub fn cpu_time(&self) -> Option<Duration> {
        let pid = self.lock().as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in the second field can contain spaces; the fields after it can't.
        let (_, rest) = text.rsplit_once(')')?;
        let mut fields = rest.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
    }

    /// Returns what the process has written to its standard error, which is its log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns what the process has written to its standard output.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    fn status(&self) -> Option<ExitStatus> {
        let mut child = self.lock();
        child.as_mut()?.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = self.lock().as_ref() {
            // It fails only when the process has ended, which the caller sees at its next call.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn end(child: &mut Child) {
    // Both fail only when the process has already ended.
    let _ = child.kill();
    let _ = child.wait();
}
