//! Ballots, by which the seats of one generation choose exactly one next generation.
//!
//! The protocol is single-decree Paxos. The acceptors are the seats of the current generation, and
//! a quorum is a majority of them. An acceptor is an instance, not a node, so a restarted node that
//! has lost its promises is not an acceptor.

use serde::{Deserialize, Serialize};
use sycamorelink_core::InstanceId;

/// Ballot number. The proposer makes equal rounds of different nodes distinct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RangeBallot {
    /// Counter of proposals, higher in each new ballot.
    pub round: u32,
    /// Instance that started the ballot.
    pub proposer: InstanceId,
}

/// Seats accepted by an acceptor and the ballot of that acceptance, if any.
pub(crate) type AcceptedSeats = Option<(RangeBallot, Vec<InstanceId>)>;

/// Paxos acceptor state of one seat for the next generation.
#[derive(Clone, Debug, Default)]
pub(crate) struct BallotAcceptor {
    pub(crate) promised: Option<RangeBallot>,
    pub(crate) accepted: AcceptedSeats,
}

impl BallotAcceptor {
    /// Promises to ignore lower ballots. Returns false if a higher ballot was promised before.
    pub(crate) fn promise(&mut self, ballot: RangeBallot) -> bool {
        if self.promised.is_some_and(|promised| promised > ballot) {
            return false;
        }
        self.promised = Some(ballot);
        true
    }

    /// Accepts the seats, or returns false if a higher ballot was promised before.
    pub(crate) fn accept(&mut self, ballot: RangeBallot, seats: Vec<InstanceId>) -> bool {
        if !self.promise(ballot) {
            return false;
        }
        self.accepted = Some((ballot, seats));
        true
    }
}

/// Returns the size of a majority of `seats`.
pub(crate) const fn majority(seats: usize) -> usize {
    seats / 2 + 1
}
