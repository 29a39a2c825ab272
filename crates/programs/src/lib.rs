//! Programs of the demo deployment, in `src/bin`; the tests start them as processes.
