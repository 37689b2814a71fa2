//! Reading what `/metrics` says.

/// Returns the sum of the samples of a metric whose labels hold `label`.
pub fn sum(text: &str, name: &str, label: &str) -> f64 {
    let mut total = 0.0;
    for line in text.lines() {
        let Some((key, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let base = key.split('{').next().unwrap_or_default();
        if base == name && key.contains(label) {
            total += value.parse::<f64>().unwrap_or_default();
        }
    }
    total
}
