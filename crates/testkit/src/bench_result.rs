use serde::Serialize;

/// Result of one bench, printed as a JSON object on the last line of its output.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    pub bench: String,
    pub value: f64,
    pub baseline: f64,
    pub target: f64,
    pub unit: String,
}

impl BenchResult {
    /// Prints the result as one line of JSON. Call it after all other output.
    pub fn print(&self) {
        // a struct of numbers and strings always serialises
        println!("{}", serde_json::to_string(self).unwrap_or_default());
    }
}
