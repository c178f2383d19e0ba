//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A text file that several threads append lines to.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record's file");
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
