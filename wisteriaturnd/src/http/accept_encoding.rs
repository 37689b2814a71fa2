//! Whether a caller accepts the encoding of an answer (RFC 9110, 12.5.3).
//!
//! The trade-off: a request without `Accept-Encoding` accepts any encoding by the RFC. Here
//! it accepts none, since callers that name no encoding read bodies as they are, and an
//! answer that is encoded all the same may not be the target's.

use hyper::HeaderMap;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING};

/// The encoding that leaves a body as it is. An answer must not name it.
const IDENTITY: &str = "identity";

/// The encodings that the headers of a request accept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AcceptedEncodings {
    /// Names in lower case, and whether each is accepted.
    named: Vec<(String, bool)>,
    /// Whether encodings that are not named are accepted.
    others: bool,
}

impl AcceptedEncodings {
    /// Reads all `Accept-Encoding` headers of a request. An element that cannot be parsed
    /// accepts nothing.
    pub fn from_request(headers: &HeaderMap) -> Self {
        let mut accepted = Self::default();
        for value in headers.get_all(ACCEPT_ENCODING) {
            for element in value.to_str().unwrap_or_default().split(',') {
                accepted.add(element);
            }
        }
        accepted
    }

    fn add(&mut self, element: &str) {
        let (name, parameters) = match element.split_once(';') {
            Some((name, parameters)) => (name, Some(parameters)),
            None => (element, None),
        };
        let name = canonical_name(name);
        let Some(is_accepted) = parameters.map_or(Some(true), parse_weight) else {
            return;
        };
        if name == "*" {
            self.others = is_accepted;
        } else if !name.is_empty() {
            self.named.push((name, is_accepted));
        }
    }

    /// Returns `true` if the request accepts every encoding that an answer names.
    pub fn allow(&self, answer_headers: &HeaderMap) -> bool {
        answer_headers
            .get_all(CONTENT_ENCODING)
            .iter()
            .all(|value| {
                let Ok(text) = value.to_str() else {
                    return false;
                };
                text.split(',')
                    .map(canonical_name)
                    .all(|name| !name.is_empty() && name != IDENTITY && self.allows_name(&name))
            })
    }

    fn allows_name(&self, name: &str) -> bool {
        let named = self.named.iter().find(|(accepted, _)| accepted == name);
        named.map_or(self.others, |(_, is_accepted)| *is_accepted)
    }
}

/// Returns the name of an encoding in lower case, without the prefix of two old aliases.
fn canonical_name(name: &str) -> String {
    let name = name.trim().to_ascii_lowercase();
    match name.as_str() {
        "x-gzip" => "gzip".to_owned(),
        "x-compress" => "compress".to_owned(),
        _ => name,
    }
}

/// Returns whether a weight such as `q=0.5` accepts an encoding, or `None` if the text is no
/// weight between 0 and 1.
fn parse_weight(parameters: &str) -> Option<bool> {
    let (name, weight) = parameters.split_once('=')?;
    let weight: f32 = weight.trim().parse().ok()?;
    let is_weight = name.trim().eq_ignore_ascii_case("q") && (0.0..=1.0).contains(&weight);
    is_weight.then_some(weight > 0.0)
}
