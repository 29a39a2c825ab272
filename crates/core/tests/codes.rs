//! Tests that the documented table of result codes matches [`Code`].

use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::promises_not_run;

#[test]
fn documented_codes_match_code_table() {
    let docs = include_str!("../../../docs/CODES.md");
    let listed: Vec<&str> = docs.lines().filter(|l| l.starts_with("| ") && l.len() > 12).collect();
    let row = |c: &Code| {
        format!("| {} | {} | {} | {} |", c.number(), c.status(), c.ran().as_str(), c.text())
    };
    let expected: Vec<String> = Code::ALL.iter().map(row).collect();
    assert_eq!(listed[1..], expected.iter().map(String::as_str).collect::<Vec<_>>());
}

#[test]
fn code_numbers_ascend_and_convert_back() {
    for (i, c) in Code::ALL.iter().enumerate() {
        assert_eq!(Code::try_from(u32::from(c.number())), Ok(*c));
        assert!(Code::ALL[..i].iter().all(|o| o.number() < c.number()), "{c:?} out of order");
    }
}

/// Guards against a code for requests that may have run whose status promises callers the opposite.
#[test]
fn codes_of_requests_that_may_have_run_promise_nothing() {
    let promising = Code::ALL.iter().filter(|c| promises_not_run(c.status()));
    let unkept: Vec<_> = promising.filter(|c| c.ran() != Ran::No).collect();
    assert!(unkept.is_empty(), "{unkept:?}");
}
