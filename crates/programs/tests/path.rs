//! Requests through a deployment of separate processes get complete responses.
#![allow(clippy::unwrap_used)]

mod common;

use common::ready_fleet;
use common::run;
use crocustally_fleet::FleetSettings;
use crocustally_fleet::workspace_key;
use crocustally_standin::CallerRequest;

#[test]
fn chat_stream_and_booking_complete_through_separate_processes() {
    run(|rt| async move {
        let fleet = ready_fleet(&rt, FleetSettings::default()).await;
        for entry in 0..4 {
            let mut caller = fleet.caller(entry);
            let chat = CallerRequest::chat(&workspace_key(entry), "course", "quiz", 12);
            let response = caller.send(&chat).await;
            assert!(response.is_complete_stream(0, 12), "{response:?}");
            assert_eq!(response.ran, "yes");
            let key = format!("b{entry}");
            let booking = CallerRequest::booking(&workspace_key(entry), &key, "room 4");
            let response = caller.send(&booking).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert_eq!(fleet.stand_ins.journal.run_count(&key), 1);
        }
    });
}
