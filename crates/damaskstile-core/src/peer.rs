//! `peer` lists the messages between instances. They are encoded as protocol buffers.

mod adoption;
mod ask_tokens;
mod draw;
mod forget_runs;
mod give_tokens;
mod gossip;
mod member_state;
mod pull_settings;
mod record_ack;
mod run_end;
mod run_record;
mod settings_update;
mod take_tokens;
mod target_note;

use prost::Message;
use serde::{Deserialize, Serialize};

pub use adoption::Adoption;
pub use ask_tokens::AskTokens;
pub use draw::Draw;
pub use forget_runs::ForgetRuns;
pub use give_tokens::GiveTokens;
pub use gossip::Gossip;
pub use member_state::MemberState;
pub use pull_settings::PullSettings;
pub use record_ack::RecordAck;
pub use run_end::RunEnd;
pub use run_record::RunRecord;
pub use settings_update::SettingsUpdate;
pub use take_tokens::TakeTokens;
pub use target_note::TargetNote;

use crate::errors::{Result, invalid_error, malformed_error};
use crate::ids::{Incarnation, InstanceId};

/// Largest frame that a peer may send, in bytes. Settings of up to 1 MB must pass.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// `PeerMessage` is one message between two instances.
#[derive(prost::Oneof, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Keeps the record of a run before it is dispatched.
    #[prost(message, tag = "3")]
    Record(RunRecord),
    /// Answers a record.
    #[prost(message, tag = "4")]
    RecordAck(RecordAck),
    /// Lets go of records whose bills are stored.
    #[prost(message, tag = "5")]
    Forget(ForgetRuns),
    /// Asks a holder for tokens.
    #[prost(message, tag = "6")]
    Ask(AskTokens),
    /// Hands tokens over.
    #[prost(message, tag = "7")]
    Give(GiveTokens),
    /// Spreads news of members, targets and settings.
    #[prost(message, tag = "8")]
    Gossip(Gossip),
    /// Asks for settings newer than a version.
    #[prost(message, tag = "9")]
    PullSettings(PullSettings),
    /// Gives the settings in force.
    #[prost(message, tag = "10")]
    SettingsUpdate(SettingsUpdate),
    /// Tells that tokens have arrived.
    #[prost(message, tag = "11")]
    Take(TakeTokens),
}

/// `PeerFrame` is a message with its sender, as it goes over the wire.
#[derive(prost::Message, Clone, PartialEq)]
pub struct PeerFrame {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub from: InstanceId,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
    /// The message.
    #[prost(oneof = "PeerMessage", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub message: Option<PeerMessage>,
}

/// Encodes a message as the bytes of one frame.
#[must_use]
pub fn encode_frame(from: &str, incarnation: Incarnation, message: PeerMessage) -> Vec<u8> {
    let frame = PeerFrame {
        from: from.to_owned(),
        incarnation,
        message: Some(message),
    };
    frame.encode_to_vec()
}

/// Decodes the bytes of one frame.
///
/// ```
/// use damaskstile_core::peer::{AskTokens, PeerMessage, decode_frame, encode_frame};
/// let ask = PeerMessage::Ask(AskTokens { budget: "b".into(), tokens: 5, ask: 1 });
/// let bytes = encode_frame("one", 7, ask.clone());
/// assert_eq!(decode_frame(&bytes).unwrap(), ("one".to_owned(), 7, ask));
/// ```
///
/// # Errors
///
/// Returns an error for bytes that are no frame, and for a frame without sender or message.
pub fn decode_frame(bytes: &[u8]) -> Result<(InstanceId, Incarnation, PeerMessage)> {
    if bytes.len() > MAX_FRAME_BYTES {
        return invalid_error(format_args!("frame of {} bytes", bytes.len()));
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
