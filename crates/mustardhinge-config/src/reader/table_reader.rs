use std::collections::HashMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use toml::de::{DeTable, DeValue};

use super::ReadContext;
use crate::line::join_path;

/// Reads the fields of one table; what isn't asked for is an unknown key.
pub(crate) struct TableReader<'a> {
    context: &'a ReadContext,
    table: &'a DeTable<'a>,
    path: String,
    known: Vec<&'static str>,
}

impl<'a> TableReader<'a> {
    /// Makes a reader of the table at `path`.
    pub(crate) fn new(context: &'a ReadContext, table: &'a DeTable<'a>, path: String) -> Self {
        Self {
            context,
            table,
            path,
            known: Vec::new(),
        }
    }

    /// Adds a finding at a key of this table.
    pub(crate) fn report(&self, key: &str, problem: impl Display, advice: impl Display) {
        let path = join_path(&self.path, key);
        self.context
            .report(path, problem.to_string(), advice.to_string());
    }

    /// Reads a text that has to be there.
    pub(crate) fn text<T>(&mut self, key: &'static str, advice: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        if self.value(key).is_none() {
            self.report(key, "missing", advice);
            return None;
        }
        self.optional_text(key, advice)
    }

    /// Reads a text that may be left out.
    pub(crate) fn optional_text<T>(&mut self, key: &'static str, advice: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.value(key)?;
        self.parse_text(key, value, advice)
    }

    /// Reads a list of texts that may be left out.
    pub(crate) fn texts<T>(&mut self, key: &'static str, advice: &str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let items = self.array(key);
        let read = |(index, item)| self.parse_text(&format!("{key}[{index}]"), item, advice);
        items.into_iter().enumerate().filter_map(read).collect()
    }

    /// Reads a list of texts that may be left out, and that no finding shows.
    pub(crate) fn hidden_texts<T: FromStr>(&mut self, key: &'static str, advice: &str) -> Vec<T> {
        let mut read = Vec::new();
        for (index, item) in self.array(key).into_iter().enumerate() {
            match item.as_str().and_then(|text| text.parse().ok()) {
                Some(parsed) => read.push(parsed),
                None => self.report(&format!("{key}[{index}]"), "not of its form", advice),
            }
        }
        read
    }

    /// Reads a whole number that may be left out.
    pub(crate) fn optional_number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.value(key)?;
        let number = value
            .as_integer()
            .and_then(|digits| u32::from_str_radix(digits.as_str(), digits.radix()).ok())
            .filter(|number| range.contains(number));
        if number.is_none() {
            let (least, greatest) = (range.start(), range.end());
            let advice = format!("give a whole number from {least} to {greatest}");
            self.report(key, format!("{} is out of range", show(value)), advice);
        }
        number
    }

    /// Reads a whole number, or takes the default if it is left out.
    pub(crate) fn number(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        self.optional_number(key, range).unwrap_or(default)
    }

    /// Reads a flag; left out, it is false.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        let Some(value) = self.value(key) else {
            return false;
        };
        let flag = value.as_bool();
        if flag.is_none() {
            self.report(key, format!("{} is no flag", show(value)), "true or false");
        }
        flag.unwrap_or_default()
    }

    /// Reads a table that may be left out.
    pub(crate) fn table<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(key)?;
        self.read_table(key, value, read)
    }

    /// Reads a table that has to be there.
    pub(crate) fn required_table<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Option<T> {
        if self.value(key).is_none() {
            self.report(key, "missing", "give it as a table");
        }
        self.table(key, read)
    }

    /// Reads a list of tables that may be left out.
    pub(crate) fn tables<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut TableReader<'_>) -> Option<T>,
    ) -> Vec<T> {
        let items = self.array(key);
        let read_item =
            |(index, item)| self.read_table(&format!("{key}[{index}]"), item, &mut read);
        items
            .into_iter()
            .enumerate()
            .filter_map(read_item)
            .collect()
    }

    /// Reports every text under `field` in the tables of list `key` that stands
    /// there a second time.
    pub(crate) fn check_unique(&mut self, key: &'static str, field: &'static str) {
        let mut seen = HashMap::new();
        for (index, item) in self.array(key).into_iter().enumerate() {
            let Some(value) = item.as_table().and_then(|table| table.get(field)) else {
                continue;
            };
            let path = format!("{key}[{index}].{field}");
            for (path, text) in text_places(path, value.get_ref()) {
                if let Some(first) = seen.get(text) {
                    let problem = format!("the same stands at {first} already");
                    self.report(&path, problem, format!("give each {field} once"));
                } else {
                    seen.insert(text, join_path(&self.path, &path));
                }
            }
        }
    }

    /// Returns how many items the list has; 0 if it is left out.
    pub(crate) fn count(&mut self, key: &'static str) -> usize {
        self.array(key).len()
    }

    /// Reports the keys that were not asked for.
    pub(crate) fn finish(&self) {
        for key in self.table.keys() {
            let key: &str = key.get_ref();
            if !self.known.contains(&key) {
                let advice = format!("known here: {}", self.known.join(", "));
                self.report(key, "unknown key", advice);
            }
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a DeValue<'a>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.table.get(key).map(toml::Spanned::get_ref)
    }

    fn array(&mut self, key: &'static str) -> Vec<&'a DeValue<'a>> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report(key, format!("{} is no list", show(value)), "give a list");
            return Vec::new();
        };
        array.iter().map(toml::Spanned::get_ref).collect()
    }

    fn parse_text<T>(&self, key: &str, value: &DeValue<'_>, advice: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(text) = value.as_str() else {
            self.report(key, format!("{} is no text", show(value)), advice);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.report(key, format!("{text:?}: {error}"), advice);
                None
            }
        }
    }

    fn read_table<T>(
        &self,
        key: &str,
        value: &'a DeValue<'a>,
        read: impl FnOnce(&mut TableReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(table) = value.as_table() else {
            self.report(key, format!("{} is no table", show(value)), "give a table");
            return None;
        };
        let mut reader = TableReader::new(self.context, table, join_path(&self.path, key));
        let parsed = read(&mut reader);
        reader.finish();
        parsed
    }
}

fn show(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("this {}", other.type_str()),
    }
}

fn text_places<'a>(path: String, value: &'a DeValue<'a>) -> Vec<(String, &'a str)> {
    match value {
        DeValue::String(text) => vec![(path, text)],
        DeValue::Array(items) => items
            .iter()
            .enumerate()
            .filter_map(|(index, item)| {
                let text = item.get_ref().as_str()?;
                Some((format!("{path}[{index}]"), text))
            })
            .collect(),
        _ => Vec::new(),
    }
}
