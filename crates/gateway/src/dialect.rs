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
    pub patience: Option<Duration>,
    /// Key of its workspace.
    pub key: Option<String>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer at most.
    pub answer_tokens: u32,
    /// Last event that the caller has of the stream.
    pub last_event: Option<u64>,
}

/// A request head that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedRequest;

/// What an endpoint is told besides the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Identity of the endpoint that is meant; any other one refuses.
    pub endpoint: &'a str,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
    /// How long the answer is waited for.
    pub patience: Duration,
    /// Last event that need not be sent again.
    pub last_event: Option<u64>,
}

/// What an endpoint's answer says besides its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Attempt that it answers.
    pub id: Option<String>,
    /// Whether it comes from an endpoint, unchanged on its way.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint has the address now.
    pub other_endpoint: bool,
    /// Whether the body is encoded, so that it is not the endpoint's own.
    pub encoded: bool,
    /// How long the endpoint keeps the connection idle.
    pub keep: Option<Duration>,
    /// Whether the endpoint closes the connection.
    pub closes: bool,
}

/// How a platform's callers and endpoints speak.
pub trait GatewayDialect: Send + Sync + 'static {
    /// Decodes and checks a policy document.
    fn policy(&self, document: &[u8]) -> Result<TrafficPolicy, PolicyError>;

    /// Decodes the head of a request.
    fn request(&self, head: &request::Parts) -> Result<RequestHead, MalformedRequest>;

    /// Headers of a request on its way to an endpoint.
    fn forward(&self, head: &request::Parts, to: &Forward<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerHead;

    /// Headers of an endpoint's answer on its way to the caller.
    fn relay(&self, head: &response::Parts) -> HeaderMap;

    /// The gateway's own refusal or failure; `retry_after` says when a place is expected.
    fn refuse(
        &self,
        id: Option<&str>,
        code: Code,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody>;
}
