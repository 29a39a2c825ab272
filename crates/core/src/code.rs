//! [`Code`]: the numbered result codes shared by callers, operators and processes.

/// Whether a back end ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No back end has started it, and none will.
    No,
    /// A back end ran it.
    Yes,
    /// It may have run; it will not run again under the same idempotency key.
    Unknown,
}

impl Ran {
    /// Value of the `x-crocustally-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }

    /// Number used in messages between processes.
    pub fn number(self) -> u32 {
        match self {
            Self::No => 0,
            Self::Yes => 1,
            Self::Unknown => 2,
        }
    }

    /// The inverse of [`Ran::number`]; any other number gives [`Ran::Unknown`].
    pub fn from_number(n: u32) -> Self {
        match n {
            0 => Self::No,
            1 => Self::Yes,
            _ => Self::Unknown,
        }
    }
}

/// Whether a response with this HTTP status promises its caller that the request has not run and never
/// will, so that the caller may send it again whatever it is: 408, 421, 429 and 503.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// A numbered result code.
        ///
        /// The meaning of a number never changes. `docs/CODES.md` lists all codes, and a test
        /// checks that the list matches.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[$doc])* #[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// HTTP status of a response with this code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Whether a request that ended with this code has run.
            pub fn ran(self) -> Ran {
                match self { $(Code::$name => Ran::$ran,)* }
            }

            /// One-line description.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    Ok = 0, 200, Yes, "Done.";
    HeaderTooLarge = 1001, 431, No, "The request's header is larger than the limit.";
    BodyTooLarge = 1002, 413, No, "The request's body is larger than the limit.";
    MalformedBody = 1003, 400, No, "The request's body is not the JSON that the service takes.";
    UnknownWorkspace = 1004, 401, No, "No workspace has this key.";
    UnknownService = 1005, 404, No, "The workspace has no service at this path.";
    BadFraming = 1006, 400, No, "The request's framing is ambiguous or broken.";
    CallerTooSlow = 1007, 408, No, "The caller did not send its request in time.";
    BadKey = 1008, 400, No, "The idempotency key is empty, too long or not plain text.";
    Overloaded = 2001, 503, No, "No endpoint had room before the request's queueing time ran out.";
    DeadlineTooShort = 2002, 503, No, "The queue is too long for the request's deadline.";
    NoEndpoint = 2003, 503, No, "No endpoint serves this service now.";
    RetryBudgetSpent = 2004, 503, No, "The service's retry budget is spent.";
    EndpointFull = 2005, 503, No, "The endpoint is at its admission limit.";
    EndpointLeaving = 2006, 503, No, "The endpoint takes no new work.";
    OtherIncarnation = 2007, 503, No, "The agent is not the incarnation that the request names.";
    SuspectBusy = 2008, 503, No, "The endpoint already runs a suspect request.";
    ShareExceeded = 2009, 429, No, "The workspace's queue is full.";
    LowPriorityShed = 2010, 503, No, "Low-priority work is refused while capacity is short.";
    EngineUnreachable = 2011, 503, No, "The agent could not open a connection to its engine.";
    EntryLeaving = 2012, 503, No, "The entry instance is stopping and takes no new requests.";
    NotReady = 2013, 503, No, "The entry instance has no configuration yet.";
    MemoryShort = 2014, 503, No, "The instance has no memory left for the request's body.";
    KeyConflict = 3001, 422, No, "The idempotency key was used with another request.";
    OutcomeUnknown = 3002, 502, Unknown, "The request may have run; it will not be run again.";
    NoQuorum = 3003, 503, No, "The claim could not be replicated, so the request was not sent.";
    KeyExpired = 3004, 410, No, "The idempotency key is older than the retention time.";
    AttemptRevoked = 3005, 503, No, "The attempt was revoked before it started.";
    StillRunning = 3006, 409, Yes, "The request is still running under the same key.";
    ClaimUnchecked = 3007, 502, Unknown, "No quorum: an earlier sending under this key may have run.";
    AnswerBroken = 4001, 502, Unknown, "The answer ended before its end mark.";
    Quarantined = 4002, 422, Unknown, "The request crashed two endpoints and is refused everywhere.";
    EngineFailed = 4003, 502, Unknown, "The engine broke off the request.";
    DeadlineOver = 4004, 504, Unknown, "The answer did not arrive within the deadline.";
    PromptBlocked = 4005, 503, No, "A part of the prompt crashes endpoints; requests with it are refused.";
    AnswerUnbuffered = 4006, 502, Unknown, "The instance had no memory left for the answer.";
    EndpointFailed = 4007, 502, Unknown, "The endpoint answered with a status that says not run, but may have run it.";
    TicketConflict = 5001, 409, No, "The ticket number was decided with other content.";
    TicketStale = 5002, 409, No, "A later ticket has changed something that this one touches.";
    TicketInvalid = 5003, 400, No, "The ticket does not describe a valid state.";
    NameTaken = 5004, 409, No, "Another live instance announces itself under this name.";
    SettingsUnreadable = 6001, 400, No, "The settings file cannot be read.";
    SettingsMalformed = 6002, 400, No, "The settings file is not the YAML that the program takes.";
    SettingsInvalid = 6003, 400, No, "A setting has a value that cannot be used.";
    LogDamaged = 7001, 500, No, "The replicated log on disk is damaged before its tail.";
    FolderLocked = 7002, 500, No, "Another process uses the data folder.";
    DiskFailed = 7003, 500, No, "The disk refused a read, a write or a sync.";
}

impl Code {
    /// Number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Error for a number that matches no [`Code`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCode(pub u32);

impl TryFrom<u32> for Code {
    type Error = UnknownCode;

    fn try_from(n: u32) -> Result<Self, UnknownCode> {
        Self::ALL.iter().copied().find(|c| u32::from(c.number()) == n).ok_or(UnknownCode(n))
    }
}
