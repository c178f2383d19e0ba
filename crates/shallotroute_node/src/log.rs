//! Sets up the log: JSON lines on standard error, with a level for each crate.

use std::{collections::BTreeMap, sync::Arc};

use error_stack::{Report, ResultExt, fmt::ColorMode};
use shallotroute_settings::{Level, Log};
use spdlog::{
    ErrorHandler, LevelFilter, Logger, Record,
    formatter::{Formatter, JsonFormatter},
    sink::{Sink, SinkPropAccess, StdStreamSink},
};

use crate::error::{Error, Result};

const CRATE_PREFIX: &str = "shallotroute_";

/// A sink that writes records whose level is enabled for their crate.
struct CrateLevelSink {
    inner: StdStreamSink,
    default: LevelFilter,
    modules: BTreeMap<String, LevelFilter>,
}

/// Replaces the process's default logger by one with the levels of the settings.
///
/// # Errors
///
/// Returns an error if the sink or the logger can't be created.
pub fn init(settings: &Log) -> Result<()> {
    Report::set_color_mode(ColorMode::None);
    let inner = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build()
        .change_context(Error::Log)?;
    let modules: BTreeMap<String, LevelFilter> = settings
        .modules
        .iter()
        .map(|(name, level)| (name.clone(), to_filter(*level)))
        .collect();
    let least_severe = settings
        .modules
        .values()
        .copied()
        .chain([settings.level])
        .max();
    let sink = CrateLevelSink {
        inner,
        default: to_filter(settings.level),
        modules,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(least_severe.map_or(LevelFilter::Off, to_filter))
        .flush_level_filter(LevelFilter::All)
        .build()
        .change_context(Error::Log)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

impl CrateLevelSink {
    fn filter_of(&self, record: &Record<'_>) -> LevelFilter {
        let path = record
            .source_location()
            .map_or("", |location| location.module_path());
        let crate_name = path.split("::").next().unwrap_or_default();
        let name = crate_name.strip_prefix(CRATE_PREFIX).unwrap_or(crate_name);
        self.modules.get(name).copied().unwrap_or(self.default)
    }
}

impl Sink for CrateLevelSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        match self.filter_of(record).test(record.level()) {
            true => self.inner.log(record),
            false => Ok(()),
        }
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }
}

impl SinkPropAccess for CrateLevelSink {
    fn level_filter(&self) -> LevelFilter {
        self.inner.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.inner.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.inner.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.inner.set_error_handler(handler);
    }
}

fn to_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    }
}
