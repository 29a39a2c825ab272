//! Cutting an event stream into whole events.

use crocustally_gateway::EventBuffer;

fn all(buf: &mut EventBuffer) -> Vec<String> {
    let next = || buf.next_event().map(|e| String::from_utf8_lossy(&e).into_owned());
    std::iter::from_fn(next).collect()
}

#[test]
fn events_come_out_whole_however_they_arrive() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for cut in 0..text.len() {
        let mut buf = EventBuffer::default();
        buf.push(&text.as_bytes()[..cut]);
        let mut events = all(&mut buf);
        buf.push(&text.as_bytes()[cut..]);
        events.extend(all(&mut buf));
        assert_eq!(events, ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"], "cut at {cut}");
        assert_eq!(buf.last_id(), Some(2));
    }
}

#[test]
fn events_that_the_caller_has_are_left_out() {
    let mut buf = EventBuffer::after(Some(4));
    buf.push(b"id: 4\ndata: old\n\nid: 5\ndata: new\n\n");
    assert_eq!(all(&mut buf), ["id: 5\ndata: new\n\n"]);
}

#[test]
fn a_partial_event_is_never_given_out() {
    let mut buf = EventBuffer::default();
    buf.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(all(&mut buf).len(), 1);
    assert_eq!(buf.last_id(), Some(1));
    assert_eq!(&buf.take_remaining()[..], b"id: 2\nda");
}
