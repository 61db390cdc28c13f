//! Paths and queries of calls, built from parts that may hold any text.

use std::fmt::{self, Display, Write};

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are encoded in a path segment and in a query: all but the unreserved ones of
/// RFC 3986, section 2.3. Others may be sent as they are in some places, but servers differ on them:
/// a form decoder reads `+` as a space.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Path and query of a call. Names that others have chosen are percent-encoded, so they reach the
/// server unchanged whatever they contain.
///
/// ```
/// use damaskstile_http::RequestTarget;
/// let target = RequestTarget::new("/objects")
///     .segment("crew sheet/#7")
///     .query("after", "50% & more");
/// assert_eq!(target.to_string(), "/objects/crew%20sheet%2F%237?after=50%25%20%26%20more");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    path: String,
    query: String,
}

impl RequestTarget {
    /// Begins with a fixed path.
    #[must_use]
    pub fn new(path: &'static str) -> Self {
        Self {
            path: path.to_owned(),
            query: String::new(),
        }
    }

    /// Appends a path segment.
    #[must_use]
    pub fn segment(mut self, segment: &str) -> Self {
        self.path.push('/');
        self.path.extend(utf8_percent_encode(segment, ENCODED));
        self
    }

    /// Appends the segments of a key, which are separated by slashes.
    ///
    /// ```
    /// use damaskstile_http::RequestTarget;
    /// let target = RequestTarget::new("/objects").segments("bills/north & south/0");
    /// assert_eq!(target.to_string(), "/objects/bills/north%20%26%20south/0");
    /// ```
    #[must_use]
    pub fn segments(self, key: &str) -> Self {
        key.split('/').fold(self, Self::segment)
    }

    /// Appends a query parameter.
    #[must_use]
    pub fn query(mut self, name: &'static str, value: impl Display) -> Self {
        let separator = if self.query.is_empty() { '?' } else { '&' };
        let value = value.to_string();
        let value = utf8_percent_encode(&value, ENCODED);
        // Writing to a string cannot fail.
        let _ = write!(self.query, "{separator}{name}={value}");
        self
    }
}

impl Display for RequestTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.path, self.query)
    }
}
