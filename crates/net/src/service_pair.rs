//! [`ServicePair`]: two generated gRPC services on one address.

use std::convert::Infallible;
use std::task::Context;
use std::task::Poll;

use futures_lite::future::Boxed;
use hyper::Request;
use hyper::Response;
use tonic::body::Body;
use tonic::server::NamedService;
use tower_service::Service;

/// Dispatches calls by the service name in the path: those of `A`'s service to `A`, all others to
/// `B`.
#[derive(Clone, Debug)]
pub struct ServicePair<A, B> {
    first: A,
    second: B,
}

impl<A: NamedService, B> ServicePair<A, B> {
    /// Combines two services.
    pub fn new(first: A, second: B) -> Self {
        Self { first, second }
    }
}

impl<A, B> Service<Request<Body>> for ServicePair<A, B>
where
    A: Service<Request<Body>, Response = Response<Body>, Error = Infallible> + NamedService,
    A::Future: Send + 'static,
    B: Service<Request<Body>, Response = Response<Body>, Error = Infallible>,
    B::Future: Send + 'static,
{
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Boxed<Result<Response<Body>, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Body>) -> Self::Future {
        let service = req.uri().path().trim_start_matches('/').split('/').next();
        if service == Some(A::NAME) {
            Box::pin(self.first.call(req))
        } else {
            Box::pin(self.second.call(req))
        }
    }
}
