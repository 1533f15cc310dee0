use serde::Serialize;

/// Result of one bench, printed as a JSON object on the last line of its output.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    pub bench: String,
    /// Measured value.
    pub value: f64,
    /// Value to compare `value` with, for example that of a simpler routing policy; 0 if the
    /// bench has none.
    pub baseline: f64,
    /// Required bound of `value`; whether it is an upper or a lower bound depends on the bench.
    pub target: f64,
    pub unit: String,
}

impl BenchResult {
    /// Prints the result as one line of JSON. Call it after all other output.
    pub fn print(&self) {
        // serialization cannot fail: the struct contains only numbers and strings
        println!("{}", serde_json::to_string(self).unwrap_or_default());
    }
}
