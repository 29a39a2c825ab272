//! The whole path with separate processes: a real request in, the whole answer out.
#![allow(clippy::unwrap_used)]

mod common;

use common::ready_fleet;
use common::run;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::workspace_key;
use crocustally_standin::CallerRequest;

#[test]
fn a_streamed_chat_and_a_booking_pass_through_separate_processes() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, FleetSettings::default()).await;
        for entry in 0..4 {
            let mut caller = fleet.caller(entry);
            let chat = CallerRequest::chat(&workspace_key(entry), "course", "quiz", 12);
            let answer = caller.send(&chat).await;
            assert!(answer.is_whole_stream(0, 12), "{answer:?}");
            assert_eq!(answer.ran, "yes");
            let key = format!("b{entry}");
            let booking = CallerRequest::booking(&workspace_key(entry), &key, "room 4");
            let answer = caller.send(&booking).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(fleet.stand_ins.journal.runs(&key), 1);
        }
    });
}
