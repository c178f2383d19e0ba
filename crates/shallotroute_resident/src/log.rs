//! The log: JSON lines on standard output, written by a thread of its own.
//!
//! The threads that log never wait: lines go to a bounded queue, and those that do not fit are
//! counted and left out.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::Duration,
};

use error_stack::{Report, ResultExt, fmt::ColorMode};
use shallotroute_settings::Level;
use spdlog::{
    LevelFilter, Logger, Record, StringBuf,
    formatter::{Formatter, FormatterContext, JsonFormatter},
    sink::{GetSinkProp, Sink, SinkProp},
};

use crate::error::{Error, Result};

/// The most lines that wait to be written: some seconds of a busy node's log.
const QUEUE_LINES: usize = 4096;

/// How long the writer gathers lines, so that it wakes up and writes a few times a second at most.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// Hands lines to the writer.
struct QueueSink {
    prop: SinkProp,
    formatter: JsonFormatter,
    lines: SyncSender<String>,
    left_out: Arc<AtomicU64>,
}

/// Starts the writer and makes its queue the sink of the process's default logger.
///
/// # Errors
///
/// The writer's thread can't be started.
pub(crate) fn init(level: Level) -> Result<()> {
    Report::set_color_mode(ColorMode::None);
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let left_out = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&left_out);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 << 10)
        .spawn(move || write(&receiver, &counter))
        .change_context(Error::Log)?;
    let sink = QueueSink {
        prop: SinkProp::default(),
        formatter: JsonFormatter::new(),
        lines: sender,
        left_out,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .build()
        .change_context(Error::Log)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Gives the writer time for the last lines.
pub(crate) async fn finish() {
    tokio::time::sleep(GATHER_TIME * 2).await;
}

impl GetSinkProp for QueueSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for QueueSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.formatter.format(record, &mut line, &mut context)?;
        match self.lines.try_send(line.as_str().to_owned()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Writes lines until all senders are gone.
fn write(lines: &Receiver<String>, left_out: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(GATHER_TIME);
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let lost = left_out.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"payload\":\"log lines left out\",\"kv\":{{\"lines\":{lost}}}}}\n"
            ));
        }
        // A reader that is gone can't be told of it; the next lines are tried again.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    }
}
