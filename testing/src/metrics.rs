//! Parsing of the text that `/metrics` returns.

/// Returns the sum of all samples of the metric `name` whose labels contain the
/// substring `label`.
pub fn sum(text: &str, name: &str, label: &str) -> f64 {
    let mut total = 0.0;
    for line in text.lines() {
        let Some((key, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let metric = key.split('{').next().unwrap_or_default();
        if metric == name && key.contains(label) {
            total += value.parse::<f64>().unwrap_or_default();
        }
    }
    total
}
