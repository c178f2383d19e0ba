//! A parser of JSON texts, as far as the messages of the platform need one.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    /// Parses a text; malformed texts become [`Value::Null`].
    pub fn parse(text: &[u8]) -> Self {
        let mut parser = Parser { text, position: 0 };
        parser.value().unwrap_or(Self::Null)
    }

    pub fn get(&self, key: &str) -> &Self {
        let Self::Table(entries) = self else {
            return &Self::Null;
        };
        let entry = entries.iter().find(|(name, _)| name == key);
        entry.map_or(&Self::Null, |(_, value)| value)
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.position)?.is_ascii_whitespace() {
            self.position += 1;
        }
        self.text.get(self.position).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.position += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            _ => self.word(),
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut entries = Vec::new();
        while self.peek()? != b'}' {
            let key = self.string()?;
            self.take(b':')?;
            entries.push((key, self.value()?));
            let _ = self.take(b',');
        }
        self.take(b'}')?;
        Some(Value::Table(entries))
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut values = Vec::new();
        while self.peek()? != b']' {
            values.push(self.value()?);
            let _ = self.take(b',');
        }
        self.take(b']')?;
        Some(Value::List(values))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        // The messages have no other characters that need an escape.
                        b'u' => self.position += 4,
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn word(&mut self) -> Option<Value> {
        let start = self.position;
        while self
            .text
            .get(self.position)
            .is_some_and(|byte| !b",]} \r\n".contains(byte))
        {
            self.position += 1;
        }
        let word = std::str::from_utf8(&self.text[start..self.position]).ok()?;
        match word {
            "null" => Some(Value::Null),
            "true" => Some(Value::Bool(true)),
            "false" => Some(Value::Bool(false)),
            number => number.parse().ok().map(Value::Number),
        }
    }
}
