//! Recent fleet contracts of a node, from which it makes patches for other nodes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sycamorelink_contract::{ContractStamp, FleetContract, FleetPatch, PatchError};

/// Number of contracts kept, including the one in force. A node that is behind by more receives the
/// whole contract.
const KEPT_CONTRACTS: usize = 6;

/// The fleet contract in force and its predecessors, with the patches that peers asked for.
#[derive(Debug, Default)]
pub(crate) struct ContractHistory {
    /// From the oldest to the one in force.
    contracts: VecDeque<(ContractStamp, Arc<FleetContract>)>,
    /// Encoded patches to the contract in force, by their base.
    patches: BTreeMap<Option<ContractStamp>, Vec<u8>>,
}

impl ContractHistory {
    /// Adds the contract that is now in force.
    pub(crate) fn push(&mut self, stamp: ContractStamp, contract: Arc<FleetContract>) {
        self.patches.clear();
        self.contracts.push_back((stamp, contract));
        if self.contracts.len() > KEPT_CONTRACTS {
            self.contracts.pop_front();
        }
    }

    /// Returns the stamp of the contract in force, or `None` if there is none.
    pub(crate) fn current(&self) -> Option<ContractStamp> {
        self.contracts.back().map(|(stamp, _)| *stamp)
    }

    /// Applies a patch to its base.
    pub(crate) fn apply(&self, patch: FleetPatch) -> Result<FleetContract, PatchError> {
        match patch.base() {
            None => patch.apply(None),
            Some(base) => patch.apply(self.find(base)),
        }
    }

    /// Keeps an encoded patch to the contract in force for peers that have the same base.
    pub(crate) fn keep_patch(&mut self, base: Option<ContractStamp>, patch: &[u8]) {
        self.patches.insert(base, patch.to_vec());
    }

    /// Returns the encoded patch from `base` to the contract in force. It contains the whole
    /// contract if this node does not have the base.
    pub(crate) fn patch_from(
        &mut self,
        base: Option<ContractStamp>,
    ) -> Option<Result<Vec<u8>, PatchError>> {
        let base = base.filter(|base| self.find(*base).is_some());
        if let Some(patch) = self.patches.get(&base) {
            return Some(Ok(patch.clone()));
        }
        let target = stamped(self.contracts.back()?);
        let base_parts = base.and_then(|base| self.find(base));
        let encoded = FleetPatch::between(base_parts, target).encode();
        if let Ok(patch) = &encoded {
            self.patches.insert(base, patch.clone());
        }
        Some(encoded)
    }

    fn find(&self, stamp: ContractStamp) -> Option<(ContractStamp, &FleetContract)> {
        let mut contracts = self.contracts.iter();
        contracts.find(|(kept, _)| *kept == stamp).map(stamped)
    }
}

fn stamped(entry: &(ContractStamp, Arc<FleetContract>)) -> (ContractStamp, &FleetContract) {
    (entry.0, &entry.1)
}
