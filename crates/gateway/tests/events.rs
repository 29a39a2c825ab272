//! Splitting an event stream into complete events.
#![allow(clippy::unwrap_used)]

use crocustally_gateway::EventBuffer;
use crocustally_gateway::MissingEvents;

fn drain_events(buf: &mut EventBuffer) -> Vec<String> {
    let next_event = || buf.next_event().unwrap().map(|e| String::from_utf8_lossy(&e).into_owned());
    std::iter::from_fn(next_event).collect()
}

#[test]
fn events_split_across_reads_are_reassembled() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for cut in 0..text.len() {
        let mut buf = EventBuffer::default();
        buf.push(&text.as_bytes()[..cut]);
        let mut events = drain_events(&mut buf);
        buf.push(&text.as_bytes()[cut..]);
        events.extend(drain_events(&mut buf));
        assert_eq!(events, ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], "cut at {cut}");
        assert_eq!(buf.last_id(), Some(2));
    }
}

#[test]
fn events_up_to_the_last_event_id_are_skipped() {
    let mut buf = EventBuffer::after(Some(4));
    buf.push(b"id: 4\ndata: old\n\nid: 5\ndata: new\n\n");
    assert_eq!(drain_events(&mut buf), ["id: 5\ndata: new\n\n"]);
}

#[test]
fn incomplete_event_is_not_returned() {
    let mut buf = EventBuffer::default();
    buf.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(drain_events(&mut buf).len(), 1);
    assert_eq!(buf.last_id(), Some(1));
    assert_eq!(&buf.take_remaining()[..], b"id: 2\nda");
}

/// Guards against a resumed stream from which events are missing, delivered as complete.
#[test]
fn resumed_stream_that_leaves_out_events_fails() {
    let mut first = EventBuffer::default();
    first.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    assert_eq!(drain_events(&mut first).len(), 2);
    let mut resumed = first.to_resume();
    // A resumption that breaks off before its first event changes nothing.
    resumed.push(b"id: 3\nda");
    assert_eq!(resumed.next_event(), Ok(None));
    let mut resumed = resumed.to_resume();
    resumed.push(b"id: 4\ndata: d\n\n");
    assert_eq!(resumed.next_event(), Err(MissingEvents { due: 3, came: 4 }));
    let mut resumed = first.to_resume();
    resumed.push(b"id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n");
    assert_eq!(drain_events(&mut resumed).len(), 2);
}

#[test]
fn ids_with_gaps_may_go_on_at_any_higher_one() {
    let mut first = EventBuffer::default();
    first.push(b"id: 10\ndata: a\n\nid: 20\ndata: b\n\n");
    assert_eq!(drain_events(&mut first).len(), 2);
    let mut resumed = first.to_resume();
    resumed.push(b"id: 30\ndata: c\n\n");
    assert_eq!(drain_events(&mut resumed), ["id: 30\ndata: c\n\n"]);
}
