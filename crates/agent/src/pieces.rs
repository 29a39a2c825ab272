//! Constructors for the pieces of a response.

use bytes::Bytes;
use crocustally_core::Code;
use crocustally_core::Ran;
use crocustally_core::routing::Load;
use crocustally_wire::Data;
use crocustally_wire::End;
use crocustally_wire::Head;
use crocustally_wire::Refusal;
use crocustally_wire::RunPiece;
use crocustally_wire::Whole;
use crocustally_wire::run_piece::Kind;

/// The head of a response.
pub(crate) fn head(status: u16, content_type: String, stream: bool) -> RunPiece {
    piece(Kind::Head(Head { status: u32::from(status), content_type, stream }), None)
}

/// A chunk of a streamed response.
pub(crate) fn data(offset: u64, bytes: Bytes) -> RunPiece {
    piece(Kind::Data(Data { offset, bytes }), None)
}

/// The end marker of a streamed response; a stream that stops without it is incomplete.
pub(crate) fn end(count: u64, load: Load) -> RunPiece {
    piece(Kind::End(End { count }), Some(load))
}

/// A response that is not streamed, complete in one piece.
pub(crate) fn whole(status: u16, content_type: String, body: Bytes, load: Load) -> RunPiece {
    piece(Kind::Whole(Whole { status: u32::from(status), content_type, body }), Some(load))
}

/// A refusal, or a failure after the attempt may have run.
pub(crate) fn refusal(code: Code, ran: Ran, engine_died: bool, load: Load) -> RunPiece {
    let code = u32::from(code.number());
    let engine_start = load.engine_start;
    let refusal = Refusal { code, ran: ran.number(), engine_died, engine_start };
    piece(Kind::Refusal(refusal), Some(load))
}

fn piece(kind: Kind, load: Option<Load>) -> RunPiece {
    RunPiece { kind: Some(kind), load: load.map(Into::into) }
}
