//! Messages between instances and their framing, encoded as protocol buffers.

mod adoption;
mod discard_records;
mod draw;
mod gossip;
mod member_state;
mod pull_settings;
mod record_ack;
mod run_end;
mod run_record;
mod settings_update;
mod target_note;
mod token_request;
mod token_transfer;
mod transfer_confirmation;

use prost::Message;
use serde::{Deserialize, Serialize};

pub use adoption::Adoption;
pub use discard_records::DiscardRecords;
pub use draw::Draw;
pub use gossip::Gossip;
pub use member_state::MemberState;
pub use pull_settings::PullSettings;
pub use record_ack::RecordAck;
pub use run_end::RunEnd;
pub use run_record::RunRecord;
pub use settings_update::SettingsUpdate;
pub use target_note::TargetNote;
pub use token_request::TokenRequest;
pub use token_transfer::TokenTransfer;
pub use transfer_confirmation::TransferConfirmation;

use crate::errors::{Result, invalid_error, malformed_error};
use crate::ids::{Incarnation, InstanceId};

/// Maximum size of a frame, in bytes. Settings of up to 1 MB must fit.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// `PeerMessage` is one message between two instances.
#[derive(prost::Oneof, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks a witness to keep the record of a run before the run is dispatched.
    #[prost(message, tag = "3")]
    Record(RunRecord),
    /// Confirms or refuses a record.
    #[prost(message, tag = "4")]
    RecordAck(RecordAck),
    /// Discards records whose bills are stored.
    #[prost(message, tag = "5")]
    Forget(DiscardRecords),
    /// Requests tokens from a holder.
    #[prost(message, tag = "6")]
    Ask(TokenRequest),
    /// Transfers tokens.
    #[prost(message, tag = "7")]
    Give(TokenTransfer),
    /// Spreads updates of members, targets and settings versions.
    #[prost(message, tag = "8")]
    Gossip(Gossip),
    /// Requests settings newer than a version.
    #[prost(message, tag = "9")]
    PullSettings(PullSettings),
    /// Carries the settings in force at the sender.
    #[prost(message, tag = "10")]
    SettingsUpdate(SettingsUpdate),
    /// Confirms that a transfer of tokens has arrived.
    #[prost(message, tag = "11")]
    Take(TransferConfirmation),
}

/// `PeerFrame` is a message with its sender, as sent over the wire.
#[derive(prost::Message, Clone, PartialEq)]
pub struct PeerFrame {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub from: InstanceId,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
    /// Message.
    #[prost(oneof = "PeerMessage", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub message: Option<PeerMessage>,
}

/// Encodes a message and its sender as a frame.
#[must_use]
pub fn encode_frame(from: &str, incarnation: Incarnation, message: PeerMessage) -> Vec<u8> {
    let frame = PeerFrame {
        from: from.to_owned(),
        incarnation,
        message: Some(message),
    };
    frame.encode_to_vec()
}

/// Decodes a frame. Returns the name and the incarnation of the sender, and the message.
///
/// ```
/// use damaskstile_core::peer::{TokenRequest, PeerMessage, decode_frame, encode_frame};
/// let ask = PeerMessage::Ask(TokenRequest { budget: "b".into(), tokens: 5, ask: 1 });
/// let bytes = encode_frame("one", 7, ask.clone());
/// assert_eq!(decode_frame(&bytes).unwrap(), ("one".to_owned(), 7, ask));
/// ```
///
/// # Errors
///
/// Returns an error for bytes that are not a frame, for a frame larger than [`MAX_FRAME_BYTES`],
/// and for a frame without sender or message.
pub fn decode_frame(bytes: &[u8]) -> Result<(InstanceId, Incarnation, PeerMessage)> {
    if bytes.len() > MAX_FRAME_BYTES {
        return invalid_error(format_args!(
            "frame of {} bytes, the limit is {MAX_FRAME_BYTES}",
            bytes.len()
        ));
    }
    let frame = match PeerFrame::decode(bytes) {
        Ok(frame) => frame,
        Err(error) => return malformed_error(error),
    };
    if frame.from.is_empty() {
        return invalid_error("frame without sender");
    }
    match frame.message {
        Some(message) => Ok((frame.from, frame.incarnation, message)),
        None => invalid_error("frame without message"),
    }
}
