//! Datagrams exchanged between instances.

use bytes::Bytes;
use damaskstile_escrow::{Receipt, Report};
use damaskstile_loans::{LoanAnswer, LoanEnds, LoanEndsAck, LoanRequest};

use super::{
    Digest, Reading, StreamAnswer, StreamQuery, StreamReport, SuspectReport, TokenRequest,
    TokenTransfer,
};

/// `DatagramBody` is the payload of a datagram.
#[derive(prost::Oneof, Clone, PartialEq)]
pub enum DatagramBody {
    /// Summary of the sender's state.
    #[prost(message, tag = "3")]
    Digest(Digest),
    /// A request for tokens.
    #[prost(message, tag = "4")]
    TokenRequest(TokenRequest),
    /// A transfer of tokens.
    #[prost(message, tag = "5")]
    TokenTransfer(TokenTransfer),
    /// A ledger change, as JSON.
    #[prost(bytes = "bytes", tag = "6")]
    Change(Bytes),
    /// Entries that the sender asks the ledger writer to write.
    #[prost(message, tag = "7")]
    Report(Report),
    /// Answer to a report.
    #[prost(message, tag = "8")]
    Receipt(Receipt),
    /// A long prompt that a target is reading.
    #[prost(message, tag = "9")]
    Reading(Reading),
    /// Request for a loan of the tokens of one call.
    #[prost(message, tag = "10")]
    Borrow(LoanRequest),
    /// Answer to a loan request.
    #[prost(message, tag = "11")]
    Lend(LoanAnswer),
    /// Loans that have ended.
    #[prost(message, tag = "12")]
    LoanEnds(LoanEnds),
    /// Acknowledgement of ended loans.
    #[prost(message, tag = "13")]
    LoanEndsAck(LoanEndsAck),
    /// What the sender knows of a suspect content.
    #[prost(message, tag = "14")]
    Suspect(SuspectReport),
    /// Streams that began at a version of software.
    #[prost(message, tag = "15")]
    StreamReport(StreamReport),
    /// Query for where a stream began.
    #[prost(message, tag = "16")]
    StreamQuery(StreamQuery),
    /// Answer to such a query.
    #[prost(message, tag = "17")]
    StreamAnswer(StreamAnswer),
}

impl DatagramBody {
    /// Returns the purpose of the message, as it is named in logs and metrics.
    #[must_use]
    pub const fn duty(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::TokenRequest(_) | Self::TokenTransfer(_) => "gift",
            Self::Change(_) => "ledger",
            Self::Report(_) | Self::Receipt(_) => "report",
            Self::Reading(_) => "reading",
            Self::Borrow(_) | Self::Lend(_) | Self::LoanEnds(_) | Self::LoanEndsAck(_) => "loan",
            Self::Suspect(_) => "suspect",
            Self::StreamReport(_) | Self::StreamQuery(_) | Self::StreamAnswer(_) => "stream",
        }
    }
}

/// `Datagram` is one message with its sender.
#[derive(prost::Message, Clone, PartialEq)]
pub struct Datagram {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The payload.
    #[prost(
        oneof = "DatagramBody",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub body: Option<DatagramBody>,
}
