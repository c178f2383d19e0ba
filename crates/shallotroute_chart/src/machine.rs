//! One machine that follows a chart.

use std::{fmt::Display, sync::Arc};

use crate::chart::Chart;

/// The current state of something that follows a chart.
#[derive(Clone, Debug)]
pub struct Machine<S, E> {
    chart: Arc<Chart<S, E>>,
    state: S,
}

impl<S: Copy + Eq + Display, E: Copy + Eq + Display> Machine<S, E> {
    /// Starts in the initial state.
    pub fn new(chart: Arc<Chart<S, E>>) -> Self {
        let state = chart.initial();
        Self { chart, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Follows an event; returns the state that it leads to, or none when it is ignored.
    pub fn fire(&mut self, event: E) -> Option<S> {
        let next = self.chart.next(self.state, event)?;
        self.state = next;
        Some(next)
    }

    /// Tells whether the machine has ended.
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }
}
