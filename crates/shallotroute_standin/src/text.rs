//! The text of generated tokens. Each token names its engine, generation and index, so that a test
//! can find the engine's record of the token.

use std::str::FromStr;

/// A generated token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Token {
    /// The engine's name.
    pub engine: String,
    /// The engine's number of the generation, from [`Generation`](crate::engine::Generation).
    pub generation: u64,
    /// The index of the token in the response, from 0.
    pub index: u32,
}

/// A word that is not a token of a simulated engine.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
#[display("`{_0}` is not the text of a token")]
pub struct ParseError(pub String);

impl std::error::Error for ParseError {}

impl std::fmt::Display for Token {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            engine,
            generation,
            index,
        } = self;
        write!(formatter, "{engine}~{generation}:{index}")
    }
}

impl FromStr for Token {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError(text.to_owned());
        let (engine, rest) = text.split_once('~').ok_or_else(error)?;
        let (generation, index) = rest.split_once(':').ok_or_else(error)?;
        Ok(Self {
            engine: engine.to_owned(),
            generation: generation.parse().map_err(|_| error())?,
            index: index.parse().map_err(|_| error())?,
        })
    }
}

/// Returns the text of tokens `start..end` of a generation.
pub fn format(engine: &str, generation: u64, start: u32, end: u32) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for index in start..end {
        write!(text, "{engine}~{generation}:{index} ").expect("writing to a string should succeed");
    }
    text
}

/// Parses a text into its tokens.
///
/// # Errors
///
/// Fails when a word of the text is not a token.
pub fn parse(text: &str) -> Result<Vec<Token>, ParseError> {
    text.split_whitespace().map(str::parse).collect()
}
