//! The classes of the sites, and the settings of their nodes.

use std::time::Duration;

use serde_json::{json, Value};

use crate::plan::{
    Plan, Stops, CALLS_WINDOW, DRAIN_GRACE, KEY_WINDOW, LINGER, LONGEST_DEADLINE, RUNS_WINDOW,
    RUN_MEMORY_FACTOR, SMALL_KEY_KB, START_CAPACITY, WARM_UP,
};

/// A class of the site.
#[derive(Clone, Copy, Debug)]
pub struct ClassPlan {
    /// Name of the class in requests.
    pub name: &'static str,
    /// Time within which a request has to be answered.
    pub deadline: Duration,
    /// True if a request may run more than once.
    pub may_run_again: bool,
    /// True if its runs may call the database.
    pub may_call: bool,
    /// True if its requests carry an idempotency key.
    pub is_keyed: bool,
}

impl ClassPlan {
    /// Returns the value of the setting `effect`, which says how often requests may run.
    fn effect(self) -> &'static str {
        match self {
            ClassPlan { is_keyed: true, .. } => "by_key",
            ClassPlan {
                may_run_again: true,
                ..
            } => "repeatable",
            ClassPlan { .. } => "once",
        }
    }
}

/// The classes of all sites. The last one is used only if the conditions include keys.
pub(crate) const CLASSES: [ClassPlan; 4] = [
    ClassPlan {
        name: "statement-read",
        deadline: Duration::from_millis(1200),
        may_run_again: true,
        may_call: true,
        is_keyed: false,
    },
    ClassPlan {
        name: "meter-refresh",
        deadline: Duration::from_secs(1),
        may_run_again: true,
        may_call: false,
        is_keyed: false,
    },
    ClassPlan {
        name: "settlement-post",
        deadline: LONGEST_DEADLINE,
        may_run_again: false,
        may_call: true,
        is_keyed: false,
    },
    ClassPlan {
        name: "version-submit",
        deadline: LONGEST_DEADLINE,
        may_run_again: false,
        may_call: true,
        is_keyed: true,
    },
];

impl Plan {
    /// Returns the settings of a node of this site.
    pub(crate) fn settings(&self, is_cold: bool) -> Value {
        let site = &self.site;
        let ms = |duration: Duration| duration.as_secs_f64() * 1e3;
        let lanes: Vec<Value> = self
            .classes()
            .iter()
            .map(|class| {
                let effect = class.effect();
                json!({"name": class.name, "promise": ms(class.deadline) * 0.6, "deadline": ms(class.deadline),
                       "effect": effect, "lateWorth": 0.2, "window": ms(KEY_WINDOW),
                       "worth": if class.may_run_again { 1.0 } else { 3.0 }})
            })
            .collect();
        let calls: Vec<bool> = self.classes().iter().map(|class| class.may_call).collect();
        let skip_worth = vec![0.0; calls.len()];
        let key_kb = if self.conditions.has_keys {
            SMALL_KEY_KB
        } else {
            133.24
        };
        let halt = match site.stops {
            Stops::Allowed => "discard",
            Stops::Rejected => "off",
        };
        json!({
            "round": 4.0, "servers": 2, "worthBy": "request", "overShareWorth": 0.1, "lanes": lanes,
            "tenants": [{"name": "alpenergia", "allowancePerS": 50.0}], "policyLimits": {"maxRetryAfter": 1000.0},
            "invariants": {"answerSlack": 100.0, "startCapacity": START_CAPACITY, "warmUp": ms(WARM_UP),
                           "drainGrace": ms(DRAIN_GRACE), "fallMultiple": site.runs_per_core, "fall": ms(RUNS_WINDOW)},
            "specifics": {"upstreams": 3, "callerIdle": 30000.0, "callsOut": site.call_quota, "classCalls": calls,
                          "classSkipWorth": skip_worth, "cold": is_cold, "cores": site.cores,
                          "dependsOn": "one_for_all", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                          "halt": halt, "heardFor": 1000.0, "registryFollows": false, "heapKb": self.memory_kb(),
                          "keyKb": key_kb, "linger": ms(LINGER), "runFactor": RUN_MEMORY_FACTOR, "say": "weight", "shareFor": 0.0,
                          "shareSpan": ms(CALLS_WINDOW)},
        })
    }
}
