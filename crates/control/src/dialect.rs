//! [`ControlDialect`]: how a platform's operators and endpoints speak to a control instance.

use bytes::Bytes;
use crocustally_core::fleet::Beat;
use crocustally_core::traffic::PolicyError;
use crocustally_core::traffic::TrafficPolicy;
use crocustally_net::ResponseBody;
use hyper::Method;
use hyper::Response;

/// A call of an operator or an endpoint, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// A heartbeat.
    Heartbeat(Beat),
    /// A heartbeat that names no endpoint to use.
    MalformedHeartbeat,
    /// An endpoint leaves.
    Leave {
        /// Its identity.
        id: String,
        /// The incarnation that leaves, where the call says it.
        born_ms: Option<u64>,
    },
    /// A new version of the policy; the body is the document.
    PutPolicy,
    /// Asks for the policy in force.
    GetPolicy,
    /// Takes a failure domain out of service, or back.
    Evacuate {
        /// Name of the failure domain.
        domain: String,
        /// Whether it is taken out.
        active: bool,
    },
    /// Nothing that is known.
    Unknown,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// Done.
    Acknowledged,
    /// The policy document in force.
    Policy(Bytes),
    /// The call can never succeed.
    Invalid(String),
    /// It cannot be decided here and now.
    Unavailable,
    /// There is no such call.
    Unknown,
}

/// How a platform's operators and endpoints speak.
pub trait ControlDialect: Send + Sync + 'static {
    /// Decodes a call.
    fn decode_request(&self, method: &Method, path: &str, body: &[u8]) -> ControlRequest;

    /// Decodes and checks a policy document.
    fn decode_policy(&self, document: &[u8]) -> Result<TrafficPolicy, PolicyError>;

    /// Encodes an answer.
    fn encode_response(&self, answer: ControlResponse) -> Response<ResponseBody>;
}
