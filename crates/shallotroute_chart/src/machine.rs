//! A state machine that runs a chart.

use std::{fmt::Display, sync::Arc};

use crate::chart::Chart;

/// A chart with a current state.
#[derive(Clone, Debug)]
pub struct Machine<S, E> {
    chart: Arc<Chart<S, E>>,
    state: S,
}

impl<S: Copy + Eq + Display, E: Copy + Eq + Display> Machine<S, E> {
    /// Creates a machine in the chart's initial state.
    pub fn new(chart: Arc<Chart<S, E>>) -> Self {
        let state = chart.initial();
        Self { chart, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Processes an event and returns the new state; `None` if the event is ignored and the state
    /// stays.
    pub fn fire(&mut self, event: E) -> Option<S> {
        let next = self.chart.next(self.state, event)?;
        self.state = next;
        Some(next)
    }

    /// Returns whether the current state is final.
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }
}
