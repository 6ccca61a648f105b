//! The simulator's wire: JSON lines in, JSON lines out. Translation only; nothing here decides.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use policy::Policy;
use policy::{
    Action, CallOutcome, CallerId, CapacityHint, Class, ClassId, Dependency, Event, Gauges,
    Idempotency, Preemption, Request, RequestId, RunOutcome, Settings, Span, Tenant, TenantId,
    Time,
};

#[derive(Deserialize)]
struct BatchIn {
    t: f64,
    backends: Vec<GroupIn>,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct GroupIn {
    backend_id: u64,
    events: Vec<EventIn>,
}
#[derive(Deserialize)]
enum EventIn {
    Spawn(SpawnIn),
    Retire {},
    Query(Box<QueryIn>),
    Finished(EndIn),
    Blocked(IdIn),
    CallEnded(EndIn),
    Left(IdIn),
    #[serde(rename_all = "camelCase")]
    Notice {
        time_left: f64,
    },
    Reminder {
        #[serde(default)]
        pressure: Vec<f64>,
    },
}
#[derive(Deserialize)]
struct SpawnIn {
    nonce64: u64,
    facts: Box<Facts>,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct IdIn {
    msg_id: u64,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EndIn {
    msg_id: u64,
    outcome: Code,
    #[serde(default)]
    duration: Option<f64>,
}
#[derive(Deserialize, Clone, Copy, PartialEq, Debug)]
#[serde(rename_all = "UPPERCASE")]
enum Code {
    Good,
    Bad,
    Full,
    Late,
    Noconn,
    Rst,
    Cxl,
    Nop,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct QueryIn {
    msg_id: u64,
    r#type: String,
    user_group: Option<Value>,
    entity: Option<Value>,
    time_left: Option<f64>,
    hint: Option<f64>,
    footprint: Option<f64>,
    #[serde(default)]
    resent: Option<bool>,
    write: Option<bool>,
    sender: Option<u64>,
    age: Option<f64>,
    same_as: Option<u64>,
}
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Facts {
    servers: u32,
    lanes: Vec<Lane>,
    specifics: Specifics,
    over_share_worth: Option<f64>,
    policy_limits: Limits,
    invariants: Invariants,
    tenants: Vec<TenantIn>,
    round: f64,
    worth_by: String,
}
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_retry_after: f64,
}
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Invariants {
    answer_slack: f64,
    start_capacity: Option<f64>,
    warm_up: f64,
    drain_grace: f64,
    fall_multiple: Option<f64>,
    fall: f64,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantIn {
    name: String,
    #[serde(default)]
    allowance_per_s: f64,
}
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lane {
    name: String,
    promise: f64,
    deadline: f64,
    effect: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    window: f64,
    worth: f64,
    #[serde(default)]
    aim_stretch: f64,
}
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Specifics {
    upstreams: u32,
    caller_idle: f64,
    calls_out: f64,
    class_calls: Vec<bool>,
    class_skip_worth: Vec<f64>,
    cold: bool,
    cores: u32,
    depends_on: String,
    gauges: Vec<String>,
    halt: String,
    heard_for: f64,
    registry_follows: Option<bool>,
    heap_kb: f64,
    key_kb: f64,
    linger: f64,
    run_factor: Option<f64>,
    say: String,
    share_for: f64,
    share_span: f64,
    passes_deadline: bool,
    tells_gone: bool,
}

#[derive(Serialize)]
struct BatchOut {
    backends: Vec<GroupOut>,
}
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct GroupOut {
    backend_id: u64,
    steps: Vec<StepOut>,
}
#[derive(Serialize)]
#[serde(rename_all_fields = "camelCase")]
enum StepOut {
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
    InternalError {
        body_text: String,
    },
}

/// What a server is told at its start, and the names it is told by.
pub struct Site {
    /// All that bears on decisions.
    pub settings: Settings,
    /// Each request tells how long its caller waits.
    pub passes_deadline: bool,
    /// Callers tell when they wait no more.
    pub tells_gone: bool,
    classes: BTreeMap<String, usize>,
    tenants: BTreeMap<String, u64>,
    gauges: Vec<String>,
}

impl Site {
    /// Reads the settings object of the first message; a real node finds the same one in its configuration.
    pub fn from_json(value: &Value) -> Result<Site, String> {
        Facts::deserialize(value)
            .map(|facts| Site::new(&facts))
            .map_err(|e| e.to_string())
    }

    fn new(facts: &Facts) -> Site {
        Site {
            settings: settings(facts),
            passes_deadline: facts.specifics.passes_deadline,
            tells_gone: facts.specifics.tells_gone,
            classes: facts
                .lanes
                .iter()
                .enumerate()
                .map(|(i, l)| (l.name.clone(), i))
                .collect(),
            tenants: facts
                .tenants
                .iter()
                .enumerate()
                .map(|(i, t)| (t.name.clone(), i as u64))
                .collect(),
            gauges: facts.specifics.gauges.clone(),
        }
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied().map(ClassId)
    }

    /// The name of a class, empty past the last.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes
            .iter()
            .find(|(_, at)| **at == id.0)
            .map_or("", |(name, _)| name)
    }

    /// The tenant of this name; one that the settings lack gets a steady number past all told ones.
    pub fn tenant(&self, name: &str) -> TenantId {
        TenantId(
            self.tenants
                .get(name)
                .copied()
                .unwrap_or_else(|| stranger(name)),
        )
    }

    /// Keys of the named tenants by their numbers, the same wherever the settings name them.
    pub fn tenant_keys(&self) -> Vec<u64> {
        let mut keys = vec![0; self.tenants.len()];
        for (name, number) in &self.tenants {
            if let Some(key) = keys.get_mut(*number as usize) {
                *key = stranger(name);
            }
        }
        keys
    }
    /// Whether the settings name this tenant.
    pub fn knows_tenant(&self, name: &str) -> bool {
        self.tenants.contains_key(name)
    }

    /// Whether a request may name this tenant: any where the settings tell of none.
    pub fn may_name(&self, name: &str) -> bool {
        self.tenants.is_empty() || self.knows_tenant(name)
    }

    /// Readings in the order of the settings, by their names.
    pub fn gauges(&self, values: &[f64]) -> Gauges {
        let read = |name: &str| {
            let at = self.gauges.iter().position(|g| g == name)?;
            values.get(at).copied()
        };
        Gauges {
            cores_busy: read("cpu_busy"),
            runnable: read("runnable"),
            memory_used: read("mem_used"),
            connections: read("sockets"),
        }
    }
}

struct Server {
    policy: Policy,
    site: Site,
}

/// The servers hosted by one adapter process, by number.
#[derive(Default)]
pub struct Host {
    servers: BTreeMap<u64, Server>,
}

impl Host {
    /// Answers one line of events with one line of actions, or tells in one line what is wrong with it.
    pub fn line(&mut self, line: &str) -> Result<String, String> {
        let batch: BatchIn =
            serde_json::from_str(line).map_err(|e| format!("{}{e}", whose(line)))?;
        if !batch.t.is_finite() {
            return Err("the clock is not a number".into());
        }
        let now = Time((batch.t * 1e3).round() as i64);
        let mut out = BatchOut {
            backends: Vec::new(),
        };
        for group in batch.backends {
            let id = group.backend_id;
            let steps = self
                .group(now, group)
                .map_err(|e| format!("backend {id}: {e}"))?;
            if !steps.is_empty() {
                out.backends.push(GroupOut {
                    backend_id: id,
                    steps,
                });
            }
        }
        serde_json::to_string(&out).map_err(|e| e.to_string())
    }

    fn group(&mut self, now: Time, group: GroupIn) -> Result<Vec<StepOut>, String> {
        let id = group.backend_id;
        let mut events = Vec::new();
        for event in group.events {
            match event {
                EventIn::Spawn(spawn) => {
                    let server = Server::new(&spawn.facts, spawn.nonce64)?;
                    self.servers.insert(id, server);
                    events.clear();
                }
                EventIn::Retire {} => {
                    self.servers.remove(&id);
                    events.clear();
                }
                other => {
                    let server = self
                        .servers
                        .get(&id)
                        .ok_or("event for an instance never started")?;
                    events.push(server.event(other)?);
                }
            }
        }
        let Some(server) = self.servers.get_mut(&id) else {
            return Ok(Vec::new());
        };
        let mut actions = Vec::new();
        // A panic is the module's own failure: the simulator is told, and this process goes on to say so.
        let run = catch_unwind(AssertUnwindSafe(|| {
            server.policy.handle(now, &events, &mut actions);
        }));
        Ok(match run {
            Ok(()) => actions.into_iter().map(step).collect(),
            Err(cause) => {
                let text = cause.downcast_ref::<String>().cloned();
                let text = text.or_else(|| {
                    cause
                        .downcast_ref::<&str>()
                        .map(std::string::ToString::to_string)
                });
                vec![StepOut::InternalError {
                    body_text: text.unwrap_or_else(|| "panic".into()),
                }]
            }
        })
    }
}

/// The instance a malformed line speaks of, where it can be told.
fn whose(line: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(line) else {
        return String::new();
    };
    let Some(groups) = value.get("backends").and_then(Value::as_array) else {
        return String::new();
    };
    let broken = |g: &&Value| GroupIn::deserialize(*g).is_err();
    let first = groups.iter().find(broken);
    match first.and_then(|g| g.get("backendId")) {
        Some(id) => format!("backend {id}: "),
        None => String::new(),
    }
}

impl Server {
    fn new(facts: &Facts, seed: u64) -> Result<Server, String> {
        let site = Site::new(facts);
        let policy = Policy::new(site.settings.clone(), seed).map_err(|e| e.to_string())?;
        Ok(Server { policy, site })
    }

    fn event(&self, event: EventIn) -> Result<Event, String> {
        Ok(match event {
            EventIn::Query(q) => Event::RequestRead(self.request(*q)?),
            EventIn::Finished(end) => {
                let how = match end.outcome {
                    Code::Good => RunOutcome::Served,
                    Code::Bad => RunOutcome::Failed,
                    Code::Cxl => RunOutcome::Stopped,
                    Code::Nop => RunOutcome::NeverStarted,
                    other => return Err(format!("a run can't end with {other:?}")),
                };
                Event::RunEnded(RequestId(end.msg_id), how)
            }
            EventIn::CallEnded(end) => {
                let how = match end.outcome {
                    Code::Good => CallOutcome::Succeeded,
                    Code::Full | Code::Noconn | Code::Nop => CallOutcome::NotExecuted,
                    Code::Bad | Code::Late | Code::Rst | Code::Cxl => CallOutcome::Failed,
                };
                Event::CallEnded(
                    RequestId(end.msg_id),
                    how,
                    span(end.duration.unwrap_or(0.0))?,
                )
            }
            EventIn::Blocked(b) => Event::CallRequested(RequestId(b.msg_id)),
            EventIn::Left(l) => Event::CallerStoppedWaiting(RequestId(l.msg_id)),
            EventIn::Notice { time_left } => Event::ShutdownNotice(span(time_left)?),
            EventIn::Reminder { pressure } => Event::Wake(self.site.gauges(&pressure)),
            EventIn::Spawn(_) | EventIn::Retire {} => {
                return Err("start or stop out of place".into())
            }
        })
    }

    fn request(&self, q: QueryIn) -> Result<Request, String> {
        let wait = q.time_left.filter(|t| *t > 0.0).map(span).transpose()?;
        let class = self
            .site
            .class(&q.r#type)
            .unwrap_or(ClassId(self.site.classes.len()));
        let tenant = match &q.user_group {
            Some(Value::String(name)) if !name.is_empty() => Some(self.site.tenant(name)),
            _ => None,
        };
        Ok(Request {
            id: RequestId(q.msg_id),
            class,
            tenant,
            has_key: matches!(&q.entity, Some(Value::String(key)) if !key.is_empty()),
            remaining_wait: wait,
            work_hint: q.hint.filter(|h| *h > 0.0).map(span).transpose()?,
            queued_kb: q.footprint.unwrap_or(0.0).max(0.0),
            is_retry: q.resent.unwrap_or(false),
            is_write: q.write.unwrap_or(false),
            caller: CallerId(q.sender.unwrap_or(0)),
            age: span(q.age.unwrap_or(0.0))?,
            duplicate_of: q.same_as.filter(|id| *id > 0).map(RequestId),
        })
    }
}

fn span(ms: f64) -> Result<Span, String> {
    if ms.is_finite() {
        Ok(Span::from_ms(ms))
    } else {
        Err("a time is not a number".into())
    }
}

/// A steady number, past all told tenants, for a name that the settings lack (FNV-1a with the top bit set).
fn stranger(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    hash | 1 << 63
}

fn settings(f: &Facts) -> Settings {
    let s = &f.specifics;
    let classes = f.lanes.iter().enumerate().map(|(i, l)| Class {
        latency_objective: Span::from_ms(l.promise),
        deadline: Span::from_ms(l.deadline),
        idempotency: match l.effect.as_str() {
            "repeatable" => Idempotency::Idempotent,
            "by_key" => Idempotency::ByKey,
            _ => Idempotency::AtMostOnce,
        },
        late_weight_fraction: l.late_worth,
        idempotency_window: Span::from_ms(l.window),
        priority_weight: l.worth,
        objective_work_multiple: l.aim_stretch,
        may_call: s.class_calls.get(i).copied().unwrap_or(true),
        skipped_call_weight_fraction: s.class_skip_worth.get(i).copied().unwrap_or(0.0),
    });
    Settings {
        cores: s.cores,
        decision_interval: Span::from_ms(f.round),
        servers: f.servers,
        callers: s.upstreams,
        classes: classes.collect(),
        tenants: f
            .tenants
            .iter()
            .map(|t| Tenant {
                allowance_per_s: t.allowance_per_s,
            })
            .collect(),
        over_share_weight_fraction: f.over_share_worth.unwrap_or(1.0),
        weight_per_work: f.worth_by == "work",
        memory_kb: s.heap_kb,
        run_memory_factor: s.run_factor.unwrap_or(1.0),
        key_kb: s.key_kb,
        dependency: match s.depends_on.as_str() {
            "one_for_all" => Dependency::Shared,
            "tier" => Dependency::Tier,
            _ => Dependency::None,
        },
        call_quota: s.calls_out,
        call_quota_window: Span::from_ms(s.share_span),
        abandoned_call_linger: Span::from_ms(s.linger),
        result_sharing_window: Span::from_ms(s.share_for),
        preemption: match s.halt.as_str() {
            "discard" => Preemption::DiscardsWork,
            "freeze" => Preemption::KeepsWork,
            _ => Preemption::Unsupported,
        },
        capacity_hint: match s.say.as_str() {
            "floor" => CapacityHint::PriorityFloor,
            "allowance" => CapacityHint::Allowance,
            "weight" => CapacityHint::Weight,
            _ => CapacityHint::Off,
        },
        capacity_hint_lifetime: Span::from_ms(s.heard_for),
        // Untold, nothing has to stand in for the lists.
        endpoint_lists_follow_health: s.registry_follows.unwrap_or(true),
        starts_cold: s.cold,
        start_capacity: f.invariants.start_capacity.unwrap_or(0.0),
        warm_up: Span::from_ms(f.invariants.warm_up),
        answer_slack: Span::from_ms(f.invariants.answer_slack),
        drain_grace: Span::from_ms(f.invariants.drain_grace),
        concurrency_per_core: f.invariants.fall_multiple.unwrap_or(1.0),
        concurrency_window: Span::from_ms(f.invariants.fall),
        max_retry_after: Span::from_ms(f.policy_limits.max_retry_after),
        caller_idle_timeout: Span::from_ms(s.caller_idle),
    }
}

fn step(action: Action) -> StepOut {
    match action {
        Action::Run(id) => StepOut::Admit { msg_id: id.0 },
        Action::Stop(id) => StepOut::Preempt { msg_id: id.0 },
        Action::Reject {
            id,
            retry_after,
            give_up,
        } => StepOut::Reject {
            msg_id: id.0,
            retry_after: retry_after.ms(),
            give_up,
        },
        Action::Fail(id) => StepOut::Lose { msg_id: id.0 },
        Action::Call(id, limit) => StepOut::ReachOut {
            msg_id: id.0,
            timeout: limit.ms(),
        },
        Action::SkipCall(id) => StepOut::Skip { msg_id: id.0 },
        Action::RememberKey(id, span) => StepOut::RecordKey {
            msg_id: id.0,
            hold_for: span.ms(),
        },
        Action::ForgetKey(id) => StepOut::Unpin { msg_id: id.0 },
        Action::Join(id) => StepOut::Join { msg_id: id.0 },
        Action::SetHealth(active) => StepOut::Readiness {
            cached: true,
            active,
        },
        Action::SetCapacityHint(value) => StepOut::Stamp { value },
        Action::CloseIdleConnections(span) => StepOut::TrimAfter {
            hold_for: span.ms(),
        },
        Action::WakeIn(span) => StepOut::WakeAt {
            span: span.ms(),
            r#ref: 0,
        },
        Action::Log(body_text) => StepOut::Debug { body_text },
    }
}
