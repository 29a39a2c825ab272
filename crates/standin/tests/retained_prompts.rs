//! Test of the stand-in engine's memory for parts of prompts.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use bytes::Bytes;
use crocustally_net::HttpClient;
use crocustally_net::Runtime;
use crocustally_standin::Engine;
use crocustally_standin::EngineSettings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;

/// Sends prompts with these parts; returns the number of those of which a part was retained.
async fn hits(rt: &Runtime, retained_prompt_tokens: u64, prompts: &[&str]) -> u64 {
    let cfg = EngineSettings { retained_prompt_tokens, ..EngineSettings::instant() };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = Engine::start(rt, any_port, cfg).await.unwrap();
    let client = HttpClient::new(rt, engine.address());
    for (i, parts) in prompts.iter().enumerate() {
        let body = format!("{{\"max_tokens\":1,\"messages\":[{{\"content\":\"prompt {i}\"}}]}}");
        let req = Request::post("/v1/chat/completions")
            .header("host", "engine")
            .header("prompt-prefix", *parts)
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        let (response, conn) = client.send(req, true).await.unwrap();
        assert_eq!(response.status(), 200);
        response.into_body().collect().await.unwrap();
        drop(conn);
    }
    engine.cache_stats().1
}

/// Guards against tests of retention that pass because the engine retains more or less than it is set
/// to.
#[test]
fn engine_retains_leading_parts_within_its_memory() {
    let rt = Runtime::start(1);
    async_io::block_on(async {
        let same = ["a:100,b:50", "a:100,c:50", "b:50"];
        assert_eq!(hits(&rt, 0, &same).await, 0);
        assert_eq!(hits(&rt, 1000, &same).await, 1);
        // The second prompt displaces the first.
        assert_eq!(hits(&rt, 150, &["a:100,b:50", "d:150", "a:100,b:50"]).await, 0);
        // Of the first prompt, only its last part is displaced.
        assert_eq!(hits(&rt, 150, &["a:100,b:50", "d:50", "a:100,e:50"]).await, 1);
    });
}
