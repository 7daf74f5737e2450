use super::{StatementKind, StatementTag};

/// Words that turn a statement that starts like a read into a write. They include
/// row locks.
const WRITING_WORDS: &[&str] = &[
    "INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL",
];

/// Words that may precede a parenthesis without calling a function that could
/// write.
const SAFE_CALLS: &[&str] = &[
    "ALL", "AND", "ANY", "AS", "AVG", "COALESCE", "COUNT", "EXISTS", "FROM", "HAVING", "IN",
    "JOIN", "LENGTH", "LOWER", "MAX", "MIN", "NOT", "NOW", "ON", "OR", "OVER", "SELECT", "SUM",
    "UNION", "UPPER", "USING", "VALUES", "WHERE",
];

/// Properties of a statement found by scanning its text.
///
/// The scan skips comments, quoted identifiers, quoted strings and dollar-quoted
/// strings. It does not parse SQL: a write misclassified as a read fails on a
/// replica, which is read-only, and is then sent to the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementScan {
    /// Kind of the statement; for several statements, their most restrictive
    /// kind.
    pub kind: StatementKind,
    /// Tag read from the comments.
    pub tag: StatementTag,
    /// Number of statements in the text.
    pub count: usize,
    /// Whether the text calls a function that may have side effects.
    pub calls_function: bool,
}

impl StatementScan {
    /// Scans the text of one or more statements.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let mut scanner = Scanner::default();
        scanner.scan(text);
        scanner.finish()
    }
}

#[derive(Default)]
struct Scanner {
    tag: StatementTag,
    words: Vec<String>,
    kinds: Vec<StatementKind>,
    calls_function: bool,
}

impl Scanner {
    fn scan(&mut self, text: &str) {
        let mut rest = text;
        while let Some(first) = rest.chars().next() {
            let taken = match first {
                '/' if rest.starts_with("/*") => self.take_comment(rest),
                '-' if rest.starts_with("--") => length_through(rest, 2, "\n"),
                '\'' | '"' => quoted_length(rest, first),
                '$' => dollar_quoted_length(rest),
                ';' => self.end_statement(),
                c if c.is_alphabetic() || c == '_' => self.take_word(rest),
                c => c.len_utf8(),
            };
            rest = &rest[taken..];
        }
        self.end_statement();
    }

    fn take_comment(&mut self, rest: &str) -> usize {
        let length = length_through(rest, 2, "*/");
        let body = rest[2..length].trim_end_matches("*/");
        self.tag.read_comment(body);
        length
    }

    fn take_word(&mut self, rest: &str) -> usize {
        let in_word = |c: char| c.is_alphanumeric() || c == '_';
        let length = rest.find(|c| !in_word(c)).unwrap_or(rest.len());
        let word = rest[..length].to_ascii_uppercase();
        if word == "E" && rest[length..].starts_with('\'') {
            return length + escaped_length(&rest[length..]);
        }
        let is_call = rest[length..].trim_start().starts_with('(');
        self.calls_function |= is_call && !SAFE_CALLS.contains(&word.as_str());
        self.words.push(word);
        length
    }

    fn end_statement(&mut self) -> usize {
        let kind = kind_of(&self.words);
        if kind != StatementKind::Empty {
            self.kinds.push(kind);
        }
        self.words.clear();
        1
    }

    fn finish(self) -> StatementScan {
        StatementScan {
            kind: combined_kind(&self.kinds),
            tag: self.tag,
            count: self.kinds.len(),
            calls_function: self.calls_function,
        }
    }
}

fn kind_of(words: &[String]) -> StatementKind {
    let Some(first) = words.first() else {
        return StatementKind::Empty;
    };
    match first.as_str() {
        "SELECT" | "VALUES" | "TABLE" | "SHOW" | "WITH" | "EXPLAIN" if reads_only(words) => {
            StatementKind::Read
        }
        "BEGIN" | "START" => StatementKind::Begin,
        "COMMIT" | "END" => StatementKind::Commit,
        "ROLLBACK" | "ABORT" if !words.iter().any(|word| word == "TO") => StatementKind::Rollback,
        "ROLLBACK" | "SAVEPOINT" | "RELEASE" => StatementKind::InTransaction,
        "SET" if words.get(1).is_some_and(|word| word == "LOCAL") => StatementKind::InTransaction,
        "SET" | "RESET" | "DISCARD" | "LISTEN" | "UNLISTEN" | "COPY" | "PREPARE" | "EXECUTE"
        | "DEALLOCATE" | "DECLARE" | "FETCH" | "MOVE" | "CLOSE" | "LOAD" => {
            StatementKind::Unsupported
        }
        _ => StatementKind::Write,
    }
}

fn reads_only(words: &[String]) -> bool {
    words
        .iter()
        .all(|word| !WRITING_WORDS.contains(&word.as_str()))
}

fn combined_kind(kinds: &[StatementKind]) -> StatementKind {
    match kinds {
        [] => StatementKind::Empty,
        [only] => *only,
        several if several.iter().all(|kind| *kind == StatementKind::Read) => StatementKind::Read,
        several
            if several
                .iter()
                .all(|kind| matches!(kind, StatementKind::Read | StatementKind::Write)) =>
        {
            StatementKind::Write
        }
        _ => StatementKind::Unsupported,
    }
}

fn length_through(rest: &str, from: usize, end: &str) -> usize {
    match rest[from..].find(end) {
        Some(at) => from + at + end.len(),
        None => rest.len(),
    }
}

fn quoted_length(rest: &str, quote: char) -> usize {
    length_through(rest, 1, &quote.to_string())
}

/// Returns the length of a quoted string with backslash escapes.
fn escaped_length(rest: &str) -> usize {
    let mut escaped = false;
    for (at, c) in rest.char_indices().skip(1) {
        match c {
            '\'' if !escaped => return at + 1,
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    rest.len()
}

fn dollar_quoted_length(rest: &str) -> usize {
    let Some(end) = rest[1..].find('$') else {
        return 1;
    };
    let mark = &rest[..end + 2];
    let is_mark = mark[1..end + 1]
        .chars()
        .all(|c| c.is_alphanumeric() || c == '_')
        && !mark[1..].starts_with(|c: char| c.is_ascii_digit());
    if is_mark {
        length_through(rest, mark.len(), mark)
    } else {
        1
    }
}
