use super::sql_token::SqlToken;

/// Splits the text of statements into tokens, without comments.
pub(super) struct TokenReader<'a> {
    rest: &'a str,
}

impl<'a> TokenReader<'a> {
    /// Starts at the beginning of `text`.
    pub(super) const fn new(text: &'a str) -> Self {
        Self { rest: text }
    }

    /// Reads all tokens; none if a quote, comment or parameter is malformed.
    pub(super) fn read_all(mut self) -> Option<Vec<SqlToken>> {
        let mut tokens = Vec::new();
        while self.skip_blanks()? {
            tokens.push(self.read_token()?);
        }
        Some(tokens)
    }

    /// Skips blanks and comments; tells whether anything is left.
    fn skip_blanks(&mut self) -> Option<bool> {
        loop {
            self.rest = self.rest.trim_start();
            if let Some(comment) = self.rest.strip_prefix("/*") {
                let end = comment.find("*/")?;
                self.rest = &comment[end + 2..];
            } else if self.rest.starts_with("--") {
                let end = self.rest.find('\n').unwrap_or(self.rest.len());
                self.rest = &self.rest[end..];
            } else {
                return Some(!self.rest.is_empty());
            }
        }
    }

    fn read_token(&mut self) -> Option<SqlToken> {
        let first = self.rest.chars().next()?;
        match first {
            '\'' => self.read_quoted('\'').map(SqlToken::Text),
            '"' => self.read_quoted('"').map(SqlToken::Word),
            '$' => {
                self.rest = &self.rest[1..];
                let number: usize = self.take_while(|c| c.is_ascii_digit()).parse().ok()?;
                (number > 0).then_some(SqlToken::Parameter(number))
            }
            c if c.is_ascii_digit() => {
                let number = self.take_while(|c| c.is_ascii_digit() || c == '.');
                Some(SqlToken::Number(number.to_owned()))
            }
            c if c.is_alphabetic() || c == '_' => {
                let word = self.take_while(|c| c.is_alphanumeric() || c == '_');
                Some(SqlToken::Word(word.to_lowercase()))
            }
            symbol => {
                self.rest = &self.rest[symbol.len_utf8()..];
                Some(SqlToken::Symbol(symbol))
            }
        }
    }

    fn take_while(&mut self, wanted: impl Fn(char) -> bool) -> &'a str {
        let end = self.rest.find(|c| !wanted(c)).unwrap_or(self.rest.len());
        let (taken, rest) = self.rest.split_at(end);
        self.rest = rest;
        taken
    }

    /// Reads a quoted text; a doubled quote stands for itself.
    fn read_quoted(&mut self, quote: char) -> Option<String> {
        let mut text = String::new();
        let mut chars = self.rest.char_indices().skip(1).peekable();
        while let Some((index, c)) = chars.next() {
            if c != quote {
                text.push(c);
            } else if chars.next_if(|(_, next)| *next == quote).is_some() {
                text.push(quote);
            } else {
                self.rest = &self.rest[index + 1..];
                return Some(text);
            }
        }
        None
    }
}
