use serde::Serialize;

/// Last line of every bench, as one JSON object.
#[derive(Clone, Debug, Serialize)]
pub struct BenchResult {
    pub bench: String,
    pub value: f64,
    pub baseline: f64,
    pub target: f64,
    pub unit: String,
}

impl BenchResult {
    /// Prints the line. Call it last.
    pub fn print(&self) {
        // numbers and strings always serialise
        println!("{}", serde_json::to_string(self).unwrap_or_default());
    }
}
