//! [`GatewayDialect`]: how a platform's callers and endpoints speak.

use std::time::Duration;

use crocustally_core::Code;
use crocustally_core::traffic::PolicyError;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::ResponseBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;

/// What a caller's request says besides its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identity of this one attempt of the caller.
    pub id: String,
    /// Host that it asks for.
    pub host: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Key of its workspace.
    pub api_key: Option<String>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer at most.
    pub max_answer_tokens: u32,
    /// Last event that the caller has of the stream.
    pub last_event_id: Option<u64>,
}

/// A request head that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedRequest;

/// What an endpoint is told besides the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHead<'a> {
    /// Identity of the endpoint that is meant; any other one refuses.
    pub endpoint: &'a str,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
    /// How long the answer is waited for.
    pub timeout: Duration,
    /// Last event that need not be sent again.
    pub last_event_id: Option<u64>,
}

/// What an endpoint's answer says besides its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Attempt that it answers.
    pub request_id: Option<String>,
    /// Whether it comes from an endpoint, unchanged on its way.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_executed: bool,
    /// Whether another endpoint has the address now.
    pub misdirected: bool,
    /// Whether the body is encoded, so that it is not the endpoint's own.
    pub content_encoded: bool,
    /// How long the endpoint keeps the connection idle.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint closes the connection.
    pub closes_connection: bool,
}

/// How a platform's callers and endpoints speak.
pub trait GatewayDialect: Send + Sync + 'static {
    /// Decodes and checks a policy document.
    fn decode_policy(&self, document: &[u8]) -> Result<TrafficPolicy, PolicyError>;

    /// Decodes the head of a request.
    fn decode_request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Headers of a request on its way to an endpoint.
    fn forward_headers(&self, head: &request::Parts, to: &ForwardHead<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn decode_response(&self, head: &response::Parts) -> ResponseHead;

    /// Headers of an endpoint's answer on its way to the caller.
    fn relay_headers(&self, head: &response::Parts) -> HeaderMap;

    /// The gateway's own refusal or failure; `retry_after` says when a place is expected.
    fn error_response(
        &self,
        id: Option<&str>,
        code: Code,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody>;
}
