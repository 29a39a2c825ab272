//! [`GatewayDialect`]: encoding and decoding of a platform's HTTP messages.

use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::control::PartSet;
use crocustally_core::dispatch::SizedPart;
use crocustally_core::traffic::PolicyError;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::ResponseBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;
use smallvec::SmallVec;

/// Metadata of a caller's request, decoded from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Unique id of this attempt; a caller's retry has another one.
    pub id: String,
    /// Requested host, without the port.
    pub host: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of the caller's workspace.
    pub api_key: Option<String>,
    /// Prompt tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// Upper bound of the response tokens; 0 if unknown.
    pub max_response_tokens: u32,
    /// Last event of the stream that the caller has received.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt that other requests may share; empty if unknown.
    pub shared_parts: PartSet,
    /// Leading parts of the prompt in order, with their lengths, at most [`SIZED_PARTS_MAX`]. The last
    /// part of the prompt, which belongs to the request or its session, may be among them.
    pub prompt: SmallVec<[SizedPart; 4]>,
}

/// Number of leading parts of a prompt of which endpoints may hold the work.
pub const SIZED_PARTS_MAX: usize = 16;

/// Error: the head of a request cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedRequest;

/// Metadata that the gateway adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHead<'a> {
    /// Id of the intended endpoint; any other endpoint refuses the request.
    pub endpoint: &'a str,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
    /// How long the gateway waits for the response.
    pub timeout: Duration,
    /// Rank of the request's urgency, 0 for the most urgent; `None` if endpoints are not told.
    pub urgency_rank: Option<u8>,
    /// Last event that the endpoint need not send again.
    pub last_event_id: Option<u64>,
}

/// Metadata of an endpoint's response, decoded from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that this responds to.
    pub request_id: Option<String>,
    /// Whether the response is signed, so that it is known to come from an endpoint.
    pub signed: bool,
    /// Whether the endpoint states that it did not execute the request.
    pub not_executed: bool,
    /// Whether a different endpoint now listens on the address.
    pub misdirected: bool,
    /// Whether the body has a content encoding, which endpoints do not use.
    pub content_encoded: bool,
    /// How long the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// How long the endpoint wants no requests of this gateway.
    pub quiet_for: Option<Duration>,
}

/// Encoding and decoding of a platform's HTTP messages.
pub trait GatewayDialect: Send + Sync + 'static {
    /// Decodes and validates a policy document.
    fn decode_policy(&self, document: &[u8]) -> Result<TrafficPolicy, PolicyError>;

    /// Decodes the head of a caller's request. Fails if it has no usable id.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Builds the headers of a request to an endpoint.
    fn forward_headers(&self, head: &request::Parts, to: &ForwardHead<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's response.
    fn decode_response(&self, head: &response::Parts) -> ResponseHead;

    /// Builds the headers of an endpoint's response to the caller, without those that the endpoint
    /// addresses to the gateway.
    fn relay_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Builds the gateway's own error response; `retry_after` is when a slot is expected.
    fn error_response(
        &self,
        id: Option<&str>,
        code: Code,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody>;
}
