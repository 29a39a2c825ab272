//! The table of result codes in the docs is the program's.

use crocustally_core::Code;

#[test]
fn the_docs_list_exactly_the_programs_codes() {
    let docs = include_str!("../../../docs/CODES.md");
    let listed: Vec<&str> = docs.lines().filter(|l| l.starts_with("| ") && l.len() > 12).collect();
    let row = |c: &Code| {
        format!("| {} | {} | {} | {} |", c.number(), c.status(), c.ran().as_str(), c.text())
    };
    let expected: Vec<String> = Code::ALL.iter().map(row).collect();
    assert_eq!(listed[1..], expected.iter().map(String::as_str).collect::<Vec<_>>());
}

#[test]
fn numbers_are_unique_and_turn_back_into_codes() {
    for (i, c) in Code::ALL.iter().enumerate() {
        assert_eq!(Code::try_from(u32::from(c.number())), Ok(*c));
        assert!(Code::ALL[..i].iter().all(|o| o.number() < c.number()), "{c:?} out of order");
    }
}
