//! Input and output of a process: network, disk, clock, settings, logs and metrics.
//!
//! The crates below make decisions without I/O; the crates above build daemons on this one.
//! Traits that abstract over I/O are defined only here.
//!
//! * [`Runtime`] and [`Shutdown`]: the executor, and a graceful shutdown that completes all open
//!   requests.
//! * [`Channel`] and [`serve_grpc`]: gRPC between the system's processes.
//! * [`serve_http`] and [`HttpClient`]: HTTP/1.1 from callers, and to engines and services.
//! * [`Journal`]: the write-ahead log and the snapshot in the data folder.
//! * [`Storage`]: the file operations below it.
//! * [`Clock`]: the time source, injected so that tests control it.

mod admin;
mod body_framing;
mod buffer_budget;
mod channel;
mod client_connections;
mod client_io;
mod clock;
mod coded_io;
mod collect_body;
mod connect;
mod data_folder;
mod final_status;
mod grpc_server;
mod http_client;
mod http_server;
mod journal;
mod metered_body;
mod operator_client;
mod panics;
mod peer_connections;
mod runtime;
mod service_pair;
mod settings;
mod shutdown;
mod sliced_body;
mod storage;
mod telemetry;
mod yielding_io;

pub use admin::AdminSettings;
pub use admin::AdminState;
pub use admin::WhereHandler;
pub use admin::serve_admin;
pub use async_signal::Signals;
pub use body_framing::BodyFraming;
pub use buffer_budget::BudgetUsedUp;
pub use buffer_budget::BufferBudget;
pub use buffer_budget::BufferCharge;
pub use buffer_budget::Length;
pub use channel::Channel;
pub use channel::ChannelError;
pub use client_connections::BodyReading;
pub use client_connections::ClientConnection;
pub use client_connections::ClientConnections;
pub use client_connections::client_connections_max;
pub use client_connections::descriptor_limit;
pub use clock::Clock;
pub use clock::FakeClock;
pub use clock::SystemClock;
pub use coded_io::RUN_HEADER;
pub use collect_body::BlockBody;
pub use collect_body::CollectError;
pub use collect_body::collect_blocks;
pub use collect_body::collect_body;
pub use data_folder::DataFolder;
pub use final_status::executed_status;
pub use final_status::final_status;
pub use grpc_server::GrpcLimits;
pub use grpc_server::serve_grpc;
pub use grpc_server::serve_grpc_within;
pub use http_client::Abandonment;
pub use http_client::ConnectionCheck;
pub use http_client::HttpClient;
pub use http_client::HttpClientSettings;
pub use http_client::HttpConnection;
pub use http_client::HttpError;
pub use http_server::HttpLimits;
pub use http_server::ResponseBody;
pub use http_server::coded_response;
pub use http_server::full_body;
pub use http_server::serve_http;
pub use http_server::serve_http_with;
pub use journal::Journal;
pub use journal::JournalError;
pub use journal::Recovered;
pub use operator_client::OperatorClient;
pub use panics::abort_on_panic;
pub use runtime::Runtime;
pub use runtime::sleep;
pub use runtime::timeout;
pub use service_pair::ServicePair;
pub use settings::SettingsError;
pub use settings::load_settings;
pub use settings::parse_address;
pub use shutdown::ConnectionGuard;
pub use shutdown::ListenerGuard;
pub use shutdown::RequestGuard;
pub use shutdown::Shutdown;
pub use shutdown::ShutdownStage;
pub use sliced_body::sliced_body;
pub use storage::Storage;
pub use storage::StorageFile;
pub use telemetry::LogFormat;
pub use telemetry::init_logs;
pub use telemetry::metrics_handle;
