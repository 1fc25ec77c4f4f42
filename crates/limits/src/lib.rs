//! Customer shares, client account quotas, retry budgets, executor admission and the crash
//! registry.
//!
//! Every module is decision logic without I/O: callers pass in the time as a
//! [`std::time::Duration`] since the node started, and each module returns the messages to send as
//! commands.
//!
//! ```text
//! request -> CustomerShare::admit -> route -> CrashRegistry::check -> SlotGate::offer -> run
//!                 ^   |                            ^   |                   |
//!                 |   v                            |   v                   v
//!             ShareMessage (leases)          CrashMessage (evidence)   finished
//! ```

pub mod admission;
pub mod crash;
pub mod holder_count;
pub mod overload;
pub mod quota;
pub mod retry_budget;
pub mod share;

pub use admission::{
    AdmissionGate, GateCommand, GateDecision, GateLoad, GateSettings, PermitBucket, SlotGate,
    WarmUp, WorkClass, WorkId,
};
pub use crash::{
    CrashCheck, CrashCommand, CrashEvent, CrashEvidence, CrashMessage, CrashRegistry,
    CrashSettings, CrashSignature, CrashVictim,
};
pub use holder_count::HolderCount;
pub use overload::{
    CallerNeed, CallerQueue, ConcurrencyLimit, DeadlineGate, FairQueue, GrantError, JoinDecision,
    LOAN_DURATION, LearnedRuns, LimitCause, LimitChange, LoanAsk, LoanAskHistory, LoanCandidate,
    OverloadSettings, QueueCount, QueueEntry, QueueEvent, QueuePlace, RefusalSummary,
    RefusalWindow, ReleasePace, RepeatBooks, RepeatOrigin, ReturnAdvice, ReturnPacer, RunEnd,
    ServerSpeed, ServiceOutlook, ServiceTimes, WaitEntry, WaitReason, WaitTerms,
};
pub use quota::{
    AccountId, QuotaHolder, QuotaKeeper, QuotaMessage, QuotaSettings, QuotaTerms, ShareUpdate,
    UsageReport,
};
pub use retry_budget::{BudgetPart, BudgetSettings, MILLIS_PER_REPEAT, RetryBudget};
pub use share::{
    Admission, AskEntry, CustomerIndex, CustomerLimit, CustomerShare, GrantEntry, ShareCommand,
    ShareEvent, ShareKeeper, ShareMember, ShareMessage, ShareNode, ShareSettings,
};
