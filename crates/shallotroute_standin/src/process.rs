//! Processes of the node program, killed when their handle is dropped.

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

/// The settings of a node that [`Settings::to_yaml`] writes into its settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub id: String,
    /// The node's region.
    pub region: String,
    /// The node's availability zone.
    pub zone: String,
    /// The address for callers and trainers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other nodes.
    pub peers: SocketAddr,
    /// The addresses at which the node first contacts other nodes.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates datagrams between nodes: 64 hexadecimal digits.
    pub peer_key: String,
    /// The address of the key-value service.
    pub store: SocketAddr,
    /// The address of the host list.
    pub hosts: SocketAddr,
    /// The name and API key of each operator.
    pub operators: Vec<(String, String)>,
    /// The log level, such as `warn`.
    pub log_level: String,
    /// The memory that the process may use, in megabytes; unlimited when absent.
    pub memory_mb: Option<u64>,
    /// The file descriptors that the process may use; unlimited when absent.
    pub descriptors: Option<u64>,
}

impl Settings {
    /// Returns the content of the settings file, which has hashes in place of the operators' keys.
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
            "limits": { "memory_mb": self.memory_mb, "descriptors": self.descriptors },
        });
        serde_yaml_ng::to_string(&value).expect("a JSON value should have a YAML form")
    }
}

/// Returns the hash of an API key in the form that settings and caller objects use.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// A process of the node program with a settings file of any form; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    id: String,
    settings_text: String,
    binary: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    output_path: PathBuf,
    child: Mutex<Option<Child>>,
}

/// A process of the node program with [`Settings`]; dropping it kills the process.
#[derive(Debug, Deref)]
pub struct Node {
    #[deref]
    process: Process,
    settings: Settings,
}

/// The interval at which the end of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Clock ticks a second in `/proc`, a constant of Linux's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;

impl Node {
    /// Writes the settings file into `folder` and starts the process.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::start`] does.
    pub fn start(binary: &Path, settings: Settings, folder: &Path) -> io::Result<Self> {
        let process = Process::start(binary, &settings.id, settings.to_yaml(), folder)?;
        Ok(Self { process, settings })
    }

    /// Returns the settings that the node was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}

impl Process {
    /// Writes `settings_text` to a settings file in `folder` and starts the node program with the
    /// file. The log and the standard output go to files in `folder` too.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be written or the program can't be started.
    pub fn start(
        binary: &Path,
        id: &str,
        settings_text: String,
        folder: &Path,
    ) -> io::Result<Self> {
        let process = Self {
            id: id.to_owned(),
            settings_text,
            binary: binary.to_owned(),
            settings_path: folder.join(format!("{id}.yaml")),
            log_path: folder.join(format!("{id}.log")),
            output_path: folder.join(format!("{id}.out")),
            child: Mutex::new(None),
        };
        process.restart()?;
        Ok(process)
    }

    /// Returns the node's name.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Starts the program again, and kills the former process if it is still running.
    ///
    /// # Errors
    ///
    /// Fails when the settings file can't be written or the program can't be started.
    pub fn restart(&self) -> io::Result<()> {
        fs::write(&self.settings_path, &self.settings_text)?;
        let append = |path| File::options().create(true).append(true).open(path);
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(append(&self.output_path)?)
            .stderr(append(&self.log_path)?)
            .spawn()?;
        let former = self.lock().replace(child);
        if let Some(mut former) = former {
            kill_and_wait(&mut former);
        }
        Ok(())
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.lock().take() {
            kill_and_wait(&mut child);
        }
    }

    /// Pauses the process with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to drain and exit with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process ends and returns its exit status; none when the process is still
    /// running after `limit` or was killed by [`Process::kill`].
    pub async fn wait_for_exit(&self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        loop {
            let status = self.status();
            if status.is_some() || started.elapsed() > limit {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the identifier of the process; none when it is not running.
    pub fn pid(&self) -> Option<u32> {
        Some(self.lock().as_ref()?.id())
    }

    /// Returns the processor time that the process has used; none when it is not running.
    pub fn cpu_time(&self) -> Option<Duration> {
        let pid = self.lock().as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The program name in the second field can contain spaces; later fields can't.
        let (_, rest) = text.rsplit_once(')')?;
        let mut fields = rest.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
    }

    /// Returns the log, which the process writes to its standard error; empty when the file can't
    /// be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the standard output of the process; empty when the file can't be read.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output_path).unwrap_or_default()
    }

    fn status(&self) -> Option<ExitStatus> {
        let mut child = self.lock();
        child.as_mut()?.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = self.lock().as_ref() {
            // This fails only when the process has ended, which the caller sees at its next call.
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

fn kill_and_wait(child: &mut Child) {
    // Both fail only when the process has already ended.
    let _ = child.kill();
    let _ = child.wait();
}
