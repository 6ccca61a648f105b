//! Converts the policy's actions to the simulator's messages.

use policy::Action;
use serde::Serialize;

/// All actions that follow from one batch of events.
#[derive(Serialize)]
pub(super) struct BatchOut {
    pub(super) backends: Vec<GroupOut>,
}

/// The actions of one server.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct GroupOut {
    pub(super) backend_id: u64,
    pub(super) steps: Vec<ActionOut>,
}

#[derive(Serialize)]
#[serde(rename_all_fields = "camelCase")]
pub(super) enum ActionOut {
    Admit {
        msg_id: u64,
    },
    Preempt {
        msg_id: u64,
    },
    Reject {
        msg_id: u64,
        retry_after: f64,
        give_up: bool,
    },
    Lose {
        msg_id: u64,
    },
    ReachOut {
        msg_id: u64,
        timeout: f64,
    },
    Skip {
        msg_id: u64,
    },
    RecordKey {
        msg_id: u64,
        hold_for: f64,
    },
    Unpin {
        msg_id: u64,
    },
    Join {
        msg_id: u64,
    },
    Readiness {
        cached: bool,
        active: bool,
    },
    Stamp {
        value: f64,
    },
    TrimAfter {
        hold_for: f64,
    },
    WakeAt {
        span: f64,
        r#ref: u64,
    },
    Debug {
        body_text: String,
    },
    /// Not an action: the policy panicked with this message.
    InternalError {
        body_text: String,
    },
}

impl From<Action> for ActionOut {
    fn from(action: Action) -> ActionOut {
        match action {
            Action::Run(id) => ActionOut::Admit { msg_id: id.0 },
            Action::Stop(id) => ActionOut::Preempt { msg_id: id.0 },
            Action::Reject {
                id,
                retry_after,
                give_up,
            } => ActionOut::Reject {
                msg_id: id.0,
                retry_after: retry_after.ms(),
                give_up,
            },
            Action::Fail(id) => ActionOut::Lose { msg_id: id.0 },
            Action::Call(id, timeout) => ActionOut::ReachOut {
                msg_id: id.0,
                timeout: timeout.ms(),
            },
            Action::SkipCall(id) => ActionOut::Skip { msg_id: id.0 },
            Action::RememberKey(id, span) => ActionOut::RecordKey {
                msg_id: id.0,
                hold_for: span.ms(),
            },
            Action::ForgetKey(id) => ActionOut::Unpin { msg_id: id.0 },
            Action::Join(id) => ActionOut::Join { msg_id: id.0 },
            Action::SetHealth(active) => ActionOut::Readiness {
                cached: true,
                active,
            },
            Action::SetCapacityHint(value) => ActionOut::Stamp { value },
            Action::CloseIdleConnections(span) => ActionOut::TrimAfter {
                hold_for: span.ms(),
            },
            Action::WakeIn(span) => ActionOut::WakeAt {
                span: span.ms(),
                r#ref: 0,
            },
            Action::Log(body_text) => ActionOut::Debug { body_text },
        }
    }
}
