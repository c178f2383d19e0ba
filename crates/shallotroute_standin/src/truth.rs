//! Compares what callers and trainers received with what the engines truly did.

use std::collections::{HashMap, HashSet};

use shallotroute_types::version::Version;

use crate::{
    engine::{Engine, Generation},
    text::{self, Token},
    trainer::Delivery,
};

/// The records of all engines at one moment.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    engines: HashMap<String, Vec<Generation>>,
    prompts: HashSet<String>,
}

/// What is wrong with a received text.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Problem {
    /// It holds something that no engine made.
    #[display("{_0}")]
    Foreign(text::ParseError),
    /// It holds tokens of another prompt.
    #[display("tokens of another prompt: `{_0}`")]
    OtherPrompt(String),
    /// A token is missing, repeated or out of order.
    #[display("token {expected} expected, {found} found")]
    Gap {
        /// The index that had to follow.
        expected: u32,
        /// The index found.
        found: u32,
    },
    /// It ends early.
    #[display("{found} of {expected} tokens")]
    Short {
        /// The tokens of the whole answer.
        expected: u32,
        /// The tokens received.
        found: u32,
    },
}

impl Truth {
    /// Reads the engines' records.
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

    /// Tells whether an engine took a request with this prompt.
    pub fn ran(&self, prompt: &str) -> bool {
        self.prompts.contains(prompt)
    }

    /// Checks that a text is the whole answer to a prompt.
    ///
    /// # Errors
    ///
    /// Something is missing, repeated or foreign.
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

    /// Returns the version that made each token of a text.
    ///
    /// # Errors
    ///
    /// A token was made by no engine.
    pub fn versions(&self, received: &str) -> Result<Vec<Version>, Problem> {
        let tokens = text::parse(received).map_err(Problem::Foreign)?;
        tokens.iter().map(|token| self.version(token)).collect()
    }

    /// Tells whether the spans of a delivered sample name the versions that truly made its tokens.
    pub fn is_provenance_correct(&self, delivery: &Delivery) -> bool {
        let Ok(versions) = self.versions(&delivery.sample.text) else {
            return false;
        };
        let mut next = 0;
        let reported = delivery.sample.spans.iter().all(|span| {
            let follows = span.start == next && span.end > span.start;
            next = span.end;
            let range = versions.get(span.start as usize..span.end as usize);
            follows && range.is_some_and(|made| made.iter().all(|&made| made == span.version))
        });
        reported && next as usize == versions.len() && delivery.sample.tokens == next
    }

    /// Returns how many versions older than the trainer's a sample truly is.
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
