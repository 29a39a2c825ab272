//! [`abort_on_panic`]: ends the process when any of its threads panics.

use std::panic;

/// Makes a panic in any thread or task end the process, after a log line with its message and place.
///
/// Without it a panic ends only the thread: that of the executor or of the replicated log. The process
/// would keep its listeners, and would neither serve nor be restarted.
pub fn abort_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!("the process ends after a panic: {info}");
        log::logger().flush();
        default_hook(info);
        std::process::abort();
    }));
}
