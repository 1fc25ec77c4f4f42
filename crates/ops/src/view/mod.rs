//! Replies of the operators' API. Unknown fields are ignored, because a newer daemon may send more.

mod change;
mod fleet;
mod node;
mod overload;
mod service;

pub use change::{
    ChangeResult, ChangeState, ChangeView, ContractList, ContractSummary, HistoryEntry, HistoryView,
};
pub use fleet::{FleetView, MemberUpstream, MemberView};
pub use node::{ContractStatus, DrainView, LocalUpstream, LogStatus, StatusView};
pub use overload::{
    AccountCount, OverloadView, QueueView, ReasonCount, RefusalView, ServerView, WaitView,
};
pub use service::{
    FULL_WEIGHT, FloorView, SHIFTED_WEIGHT, ServiceUpstream, ServiceView, UNSUSPECTED_SCORE,
};
