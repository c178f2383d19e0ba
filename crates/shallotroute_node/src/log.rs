//! The log: JSON lines on standard error, with a level for each crate.

use std::{collections::BTreeMap, sync::Arc};

use error_stack::{Report, ResultExt, fmt::ColorMode};
use shallotroute_settings::{Level, Log};
use spdlog::{
    ErrorHandler, LevelFilter, Logger, Record,
    formatter::{Formatter, JsonFormatter},
    sink::{Sink, SinkPropAccess, StdStreamSink},
};

use crate::error::{Error, Result};

/// The start of the names of this workspace's crates.
const CRATE_PREFIX: &str = "shallotroute_";

/// Passes a record on when its level is enabled for its crate.
struct ModuleSink {
    inner: StdStreamSink,
    default: LevelFilter,
    modules: BTreeMap<String, LevelFilter>,
}

/// Makes the settings' levels those of the process's default logger.
///
/// # Errors
///
/// Standard error can't be written.
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
        .map(|(name, level)| (name.clone(), filter(*level)))
        .collect();
    let most = settings
        .modules
        .values()
        .copied()
        .chain([settings.level])
        .max();
    let sink = ModuleSink {
        inner,
        default: filter(settings.level),
        modules,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(most.map_or(LevelFilter::Off, filter))
        .flush_level_filter(LevelFilter::All)
        .build()
        .change_context(Error::Log)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

impl ModuleSink {
    fn filter_of(&self, record: &Record<'_>) -> LevelFilter {
        let path = record
            .source_location()
            .map_or("", |location| location.module_path());
        let crate_name = path.split("::").next().unwrap_or_default();
        let name = crate_name.strip_prefix(CRATE_PREFIX).unwrap_or(crate_name);
        self.modules.get(name).copied().unwrap_or(self.default)
    }
}

impl Sink for ModuleSink {
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

impl SinkPropAccess for ModuleSink {
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

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::Off,
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    }
}
