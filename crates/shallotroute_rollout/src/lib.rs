//! Decisions on trainers' steps: samples, staleness, provenance, delivery, swaps.
