//! The configuration of a node for tests.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Returns the settings of a small site. The deadlines are short, so that tests detect late answers
/// soon.
pub fn small_site_settings() -> Value {
    let lane = |name: &str, effect: &str, worth: f64| {
        json!({"name": name, "promise": 1000.0, "deadline": 1500.0, "effect": effect, "lateWorth": 0.2,
               "window": 5000.0, "worth": worth})
    };
    json!({
        "round": 4.0, "servers": 2, "worthBy": "request", "overShareWorth": 0.1,
        "lanes": [lane("statement-read", "repeatable", 1.0), lane("settlement-post", "once", 3.0)],
        "tenants": [{"name": "alpenergia", "allowancePerS": 50.0}],
        "policyLimits": {"maxRetryAfter": 1000.0},
        "invariants": {"answerSlack": 100.0, "startCapacity": 0.22, "warmUp": 18000.0, "drainGrace": 500.0,
                       "fallMultiple": 8.0, "fall": 3000.0},
        "specifics": {"upstreams": 3, "callerIdle": 30000.0, "callsOut": 5.0, "classCalls": [true, true],
                      "classSkipWorth": [0.0, 0.0], "cold": false, "cores": 6, "dependsOn": "one_for_all",
                      "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "halt": "discard",
                      "heardFor": 1000.0, "registryFollows": false, "heapKb": 26622.0, "keyKb": 133.24,
                      "linger": 200.0, "runFactor": 8.0, "say": "weight", "shareFor": 0.0, "shareSpan": 5000.0},
    })
}

/// Returns the configuration of a node that uses these peers.
pub fn node_config(executor: SocketAddr, database: SocketAddr, endpoint_list: SocketAddr) -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "executor": executor, "members": endpoint_list, "db": database,
           "seed": "8c1f30d27a5be964", "stop_ms": 8000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "settings": small_site_settings()})
}
