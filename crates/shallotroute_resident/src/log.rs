//! Logging: JSON lines on standard output, written by a thread of its own.
//!
//! Threads that log never block: their lines go to a bounded queue, and lines that do not fit are
//! dropped and counted.

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

/// The maximum number of lines in the queue: the log of a busy node for some seconds.
const QUEUE_LINES: usize = 4096;

/// How long the writer collects lines before it writes them, so that it wakes up only a few times a
/// second.
const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// A log sink that passes formatted lines to the writer thread.
struct QueueSink {
    prop: SinkProp,
    formatter: JsonFormatter,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

/// Starts the writer thread and installs its queue as the sink of the process's default logger.
///
/// # Errors
///
/// Returns [`Error::Log`] if the thread can't be started or the logger can't be built.
pub(crate) fn init(level: Level) -> Result<()> {
    Report::set_color_mode(ColorMode::None);
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 << 10)
        .spawn(move || write_lines(&receiver, &counter))
        .change_context(Error::Log)?;
    let sink = QueueSink {
        prop: SinkProp::default(),
        formatter: JsonFormatter::new(),
        lines: sender,
        dropped,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(to_level_filter(level))
        .build()
        .change_context(Error::Log)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits long enough for the writer to write the queued lines.
pub(crate) async fn finish() {
    tokio::time::sleep(BATCH_PERIOD * 2).await;
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
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Writes lines in batches until all senders are dropped.
fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_PERIOD);
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"payload\":\"log lines dropped\",\"kv\":{{\"lines\":{dropped_lines}}}}}\n"
            ));
        }
        // A write error can't be logged anywhere else; the next lines are written as usual.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}

fn to_level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    }
}
