//! The demo deployment's programs are in `src/bin`; the tests start them as processes.
