//! The ground truth for tests: checks the text that callers and trainers received against the
//! engines' records.

use std::collections::{HashMap, HashSet};

use shallotroute_types::version::Version;

use crate::{
    engine::{Engine, Generation},
    text::{self, Token},
    trainer::Delivery,
};

/// A snapshot of the records of all engines.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    engines: HashMap<String, Vec<Generation>>,
    prompts: HashSet<String>,
}

/// The ways in which a received text differs from the engines' records.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Problem {
    /// The text contains a word that no engine generated.
    #[display("{_0}")]
    Foreign(text::ParseError),
    /// The text contains tokens that were generated for another prompt.
    #[display("tokens of another prompt: `{_0}`")]
    OtherPrompt(String),
    /// A token is missing, repeated or out of order.
    #[display("token {expected} expected, {found} found")]
    Gap {
        /// The index that follows the last correct token.
        expected: u32,
        /// The index of the token in its place.
        found: u32,
    },
    /// The text ends early.
    #[display("{found} of {expected} tokens")]
    Short {
        /// The number of tokens of the complete response.
        expected: u32,
        /// The number of tokens received.
        found: u32,
    },
}

impl Truth {
    /// Copies the records of engines, whose names must differ.
    pub fn new<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> Self {
        let mut truth = Self::default();
        for engine in engines {
            let generations = engine.generations();
            let prompts = generations
                .iter()
                .map(|generation| generation.prompt.clone());
            truth.prompts.extend(prompts);
            truth.engines.insert(engine.name().to_owned(), generations);
        }
        truth
    }

    /// Returns whether an engine accepted a request with this prompt.
    pub fn ran(&self, prompt: &str) -> bool {
        self.prompts.contains(prompt)
    }

    /// Checks that a text is the complete response to a prompt.
    ///
    /// # Errors
    ///
    /// Fails when a token is missing, repeated or not generated for the prompt.
    pub fn check(&self, prompt: &str, received: &str) -> Result<(), Problem> {
        let tokens = text::parse(received).map_err(Problem::Foreign)?;
        let mut target = 0;
        for (expected, token) in (0..).zip(&tokens) {
            let generation = self.generation(token)?;
            if generation.prompt != prompt {
                return Err(Problem::OtherPrompt(generation.prompt.clone()));
            }
            if token.index != expected {
                let found = token.index;
                return Err(Problem::Gap { expected, found });
            }
            target = generation.target;
        }
        let found = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        match found >= target && found > 0 {
            true => Ok(()),
            false => Err(Problem::Short {
                expected: target,
                found,
            }),
        }
    }

    /// Returns the version that generated each token of a text.
    ///
    /// # Errors
    ///
    /// Fails when no engine generated a token.
    pub fn versions(&self, received: &str) -> Result<Vec<Version>, Problem> {
        let tokens = text::parse(received).map_err(Problem::Foreign)?;
        tokens.iter().map(|token| self.version(token)).collect()
    }

    /// Returns whether the spans of a delivered sample cover its tokens without gaps and name the
    /// versions that generated them.
    pub fn is_provenance_correct(&self, delivery: &Delivery) -> bool {
        let Ok(versions) = self.versions(&delivery.sample.text) else {
            return false;
        };
        let mut next = 0;
        let are_spans_correct = delivery.sample.spans.iter().all(|span| {
            let is_contiguous = span.start == next && span.end > span.start;
            next = span.end;
            let range = versions.get(span.start as usize..span.end as usize);
            is_contiguous
                && range.is_some_and(|actual| actual.iter().all(|&actual| actual == span.version))
        });
        are_spans_correct && next as usize == versions.len() && delivery.sample.tokens == next
    }

    /// Returns the staleness of a delivered sample: how many versions its oldest token is behind
    /// the trainer's version. Returns none when the text has no tokens or a foreign one.
    pub fn staleness(&self, delivery: &Delivery) -> Option<u64> {
        let versions = self.versions(&delivery.sample.text).ok()?;
        let oldest = versions.iter().min()?;
        Some(delivery.version.0.saturating_sub(oldest.0))
    }

    fn generation(&self, token: &Token) -> Result<&Generation, Problem> {
        let index = usize::try_from(token.generation).unwrap_or(usize::MAX);
        self.engines
            .get(&token.engine)
            .and_then(|generations| generations.get(index))
            .ok_or_else(|| Problem::Foreign(text::ParseError(token.to_string())))
    }

    fn version(&self, token: &Token) -> Result<Version, Problem> {
        self.generation(token)?
            .spans
            .iter()
            .find(|span| (span.start..span.end).contains(&token.index))
            .map(|span| span.version)
            .ok_or_else(|| Problem::Foreign(text::ParseError(token.to_string())))
    }
}
