//! Compression of policy documents.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use crocustally_wire::PolicyBodyError;
use crocustally_wire::PolicyDocument;

/// A document of many routes, as operators send it.
fn routes(count: usize) -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n:x}","host":"h{}.example","path-prefix":"/p{n:x}/","kind":"stream","timeout-ms":8000,"service":"s{}","attempts":2,"sticky":true}}"#,
            n % 7,
            n % 3
        )
    };
    format!(r#"{{"routes":[{}]}}"#, (0..count).map(route).collect::<Vec<_>>().join(","))
}

/// Operators add many routes in quick succession: each version goes from five control instances to
/// every gateway, and at 58 gateways plain documents of 200 kB fill the links for seconds.
#[test]
fn document_of_many_routes_takes_a_fifth_of_its_size() {
    let text = routes(1400);
    let document = PolicyDocument::compress(7, text.as_bytes());
    assert!(document.body.len() * 5 < text.len(), "{} of {}", document.body.len(), text.len());
    assert_eq!(document.text().unwrap(), text.as_bytes());
}

#[test]
fn plain_document_of_an_earlier_release_is_read() {
    let body = Bytes::from_static(b"{\"version\":3}");
    let document = PolicyDocument { version: 3, body: body.clone(), compressed: false };
    assert_eq!(document.text().unwrap(), body);
}

#[test]
fn malformed_bodies_are_refused_without_allocating_what_they_claim() {
    let document = |body: &[u8]| PolicyDocument {
        version: 1,
        body: Bytes::copy_from_slice(body),
        compressed: true,
    };
    assert_eq!(document(b"ab").text(), Err(PolicyBodyError::Malformed));
    let claimed = u32::MAX.to_le_bytes();
    assert_eq!(document(&claimed).text(), Err(PolicyBodyError::TooLarge(u32::MAX as usize)));
    let mut cut = PolicyDocument::compress(1, routes(20).as_bytes()).body.to_vec();
    cut.truncate(cut.len() / 2);
    assert_eq!(document(&cut).text(), Err(PolicyBodyError::Malformed));
}
