//! [`ControlDialect`]: the requests of a platform's operators and endpoints and their encoding.

use bytes::Bytes;
use crocustally_core::fleet::Heartbeat;
use crocustally_core::traffic::PolicyError;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::ResponseBody;
use hyper::Method;
use hyper::Response;

/// A decoded request of an operator or an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// A heartbeat of an endpoint.
    Heartbeat(Heartbeat),
    /// A heartbeat that could not be decoded.
    MalformedHeartbeat,
    /// Deregisters an endpoint.
    Leave {
        /// Identity of the endpoint.
        id: String,
        /// Start time of the incarnation that leaves, in milliseconds; `None` if not given.
        born_ms: Option<u64>,
    },
    /// Stores a new version of the policy; the body is the document.
    PutPolicy,
    /// Reads the policy in force.
    GetPolicy,
    /// Starts or ends the evacuation of a failure domain.
    Evacuate {
        /// Name of the failure domain.
        domain: String,
        /// Whether the failure domain is evacuated from now on.
        active: bool,
    },
    /// A request that matches no known method and path.
    Unknown,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// The request succeeded.
    Acknowledged,
    /// The policy document in force.
    Policy(Bytes),
    /// The request is invalid, for the given reason; retries cannot succeed.
    Invalid(String),
    /// The request was not committed in time; a retry may succeed.
    Unavailable,
    /// No such method and path.
    Unknown,
}

/// Decodes requests and encodes responses for a platform's operators and endpoints.
pub trait ControlDialect: Send + Sync + 'static {
    /// Decodes a request.
    fn decode_request(&self, method: &Method, path: &str, body: &[u8]) -> ControlRequest;

    /// Decodes and validates a policy document.
    ///
    /// # Errors
    ///
    /// Fails if the document is malformed or inconsistent.
    fn decode_policy(&self, document: &[u8]) -> Result<TrafficPolicy, PolicyError>;

    /// Encodes a response.
    fn encode_response(&self, response: ControlResponse) -> Response<ResponseBody>;
}
