//! Paths and queries that contain names which others have chosen.

use damaskstile_http::RequestTarget;
use http::Uri;
use percent_encoding::percent_decode_str;
use proptest::prelude::*;

proptest! {
    #[test]
    fn any_name_arrives_unchanged(segment in ".{0,40}", value in ".{0,40}") {
        // Guards against a name that cuts off or changes the rest of a request line, or that the
        // server decodes to another one.

        // Act
        let target = RequestTarget::new("/objects")
            .segment(&segment)
            .query("first", &value)
            .query("second", 2);
        let uri: Uri = target.to_string().parse().unwrap();

        // Assert
        let (fixed, sent) = uri.path().rsplit_once('/').unwrap();
        prop_assert_eq!(fixed, "/objects");
        prop_assert_eq!(percent_decode_str(sent).decode_utf8().unwrap(), segment);
        let query = form_urlencoded::parse(uri.query().unwrap().as_bytes());
        let query: Vec<(String, String)> = query.into_owned().collect();
        let first = ("first".to_owned(), value);
        prop_assert_eq!(query, vec![first, ("second".to_owned(), "2".to_owned())]);
    }
}
