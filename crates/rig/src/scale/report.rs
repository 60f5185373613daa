//! Tables of figures, as text or as JSON.

use serde_json::{json, Value};

/// What one measurement gives: a column's name says its unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub title: String,
    pub columns: Vec<String>,
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    pub fn new(title: &str, columns: &[&str]) -> Table {
        let columns = columns.iter().map(|column| column.to_string()).collect();
        Table { title: title.to_string(), columns, rows: Vec::new() }
    }

    pub fn add(&mut self, row: Vec<Value>) {
        self.rows.push(row);
    }

    /// A column's figure of a row, where it is one.
    pub fn figure(&self, row: usize, column: &str) -> Option<f64> {
        let at = self.columns.iter().position(|name| name == column)?;
        self.rows.get(row)?.get(at)?.as_f64()
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Number(number) if number.is_f64() => {
            let figure = number.as_f64().unwrap_or_default();
            if figure.abs() >= 100.0 {
                format!("{figure:.0}")
            } else {
                format!("{figure:.3}")
            }
        }
        other => other.to_string(),
    }
}

pub fn show(tables: &[Table], as_json: bool) -> String {
    if as_json {
        let of = |table: &Table| json!({"title": table.title, "columns": table.columns, "rows": table.rows});
        return format!("{:#}", Value::Array(tables.iter().map(of).collect()));
    }
    let of = |table: &Table| {
        let mut cells = vec![table.columns.clone()];
        cells.extend(table.rows.iter().map(|row| row.iter().map(plain).collect()));
        let width =
            |at: usize| cells.iter().filter_map(|row| row.get(at)).map(String::len).max().unwrap_or(0);
        let line = |row: &Vec<String>| {
            let cells = row.iter().enumerate().map(|(at, cell)| format!("{cell:>width$}", width = width(at)));
            cells.collect::<Vec<_>>().join("  ")
        };
        let lines: Vec<String> = cells.iter().map(line).collect();
        format!("{}\n{}", table.title, lines.join("\n"))
    };
    tables.iter().map(of).collect::<Vec<_>>().join("\n\n")
}
