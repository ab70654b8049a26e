//! Codec of UDP datagrams.

use coriander_core::InstanceId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::message_mac::{MAC_LENGTH, MessageMac, WIRE_VERSION};
use crate::replay_window::ReplayTable;
use crate::{DecodeError, EncodeError, RejectCounts};

/// Maximum length of a datagram in bytes; fits the smallest usual MTU without fragmentation.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;

#[derive(Deserialize, Serialize)]
struct DatagramHeader {
    sender: InstanceId,
    epoch: u64,
    sequence: u64,
}

/// An authenticated datagram that is not a replay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedDatagram<T> {
    /// Instance that sent the datagram.
    pub sender: InstanceId,
    /// Random number that identifies the sender's process start.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
    /// The message.
    pub message: T,
}

/// Encodes and decodes the UDP messages of one process.
///
/// A datagram is the version byte, the sender with its epoch and sequence number, the postcard
/// body and the authentication code. The receiver accepts each sequence number of an epoch once,
/// and none that is 128 or more below the highest one.
pub struct DatagramCodec {
    mac: MessageMac,
    header: DatagramHeader,
    replay_table: ReplayTable,
    rejected: RejectCounts,
}

impl DatagramCodec {
    /// Creates a codec from the wire key of the fleet.
    ///
    /// `epoch` must be a random number drawn at process start, because the sequence numbers restart
    /// at 1.
    pub fn new(wire_key: &[u8; 32], own_id: InstanceId, epoch: u64) -> Self {
        let header = DatagramHeader {
            sender: own_id,
            epoch,
            sequence: 0,
        };
        Self {
            mac: MessageMac::derive(wire_key, b"datagram"),
            header,
            replay_table: ReplayTable::default(),
            rejected: RejectCounts::default(),
        }
    }

    /// Encodes a message with the next sequence number.
    ///
    /// Each destination needs a separate call, because a receiver drops the second copy of a
    /// datagram.
    pub fn encode<T: Serialize + ?Sized>(&mut self, message: &T) -> Result<Vec<u8>, EncodeError> {
        self.header.sequence += 1;
        let datagram = postcard::to_extend(&self.header, vec![WIRE_VERSION])?;
        let mut datagram = postcard::to_extend(message, datagram)?;
        let length = datagram.len() + MAC_LENGTH;
        if length > MAX_DATAGRAM_LENGTH {
            let max_length = MAX_DATAGRAM_LENGTH;
            return Err(EncodeError::TooLong { length, max_length });
        }
        self.mac.append(&mut datagram, 0);
        Ok(datagram)
    }

    /// Decodes a received datagram.
    pub fn decode<T: DeserializeOwned>(
        &mut self,
        datagram: &[u8],
    ) -> Result<ReceivedDatagram<T>, DecodeError> {
        let result = self.decode_datagram(datagram);
        self.rejected.record(result)
    }

    /// Returns the counters of rejected datagrams.
    pub const fn rejected(&self) -> &RejectCounts {
        &self.rejected
    }

    /// Returns the number of senders in the replay table.
    pub fn sender_count(&self) -> usize {
        self.replay_table.len()
    }

    fn decode_datagram<T: DeserializeOwned>(
        &mut self,
        datagram: &[u8],
    ) -> Result<ReceivedDatagram<T>, DecodeError> {
        let length = datagram.len();
        if length > MAX_DATAGRAM_LENGTH {
            let max_length = MAX_DATAGRAM_LENGTH;
            return Err(DecodeError::TooLong { length, max_length });
        }
        let signed = self.mac.check(datagram)?;
        let (header, body) = postcard::take_from_bytes::<DatagramHeader>(signed)
            .map_err(|_| DecodeError::Malformed)?;
        let DatagramHeader {
            sender,
            epoch,
            sequence,
        } = header;
        if !self.replay_table.accept(&sender, epoch, sequence) {
            return Err(DecodeError::Replayed { sender, sequence });
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(ReceivedDatagram {
                sender,
                epoch,
                sequence,
                message,
            }),
            _ => Err(DecodeError::Malformed),
        }
    }
}
