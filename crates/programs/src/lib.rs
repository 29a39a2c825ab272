//! Nothing but programs lives in this package.
