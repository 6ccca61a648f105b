//! The simulator's adapter: it reads events, writes actions, and reports a malformed line in one
//! line.
use protocol_gateway::wire::Host;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "servers": 4, "round": 2.0, "worthBy": "request", "overShareWorth": 0.1, "news": {"later": 1},
        "lanes": [{"name": "look", "promise": 2000.0, "deadline": 6000.0, "effect": "repeatable",
            "lateWorth": 0.0, "window": 5000.0, "worth": 1.0}],
        "invariants": {"answerSlack": 60.0, "drainGrace": 1000.0, "fall": 2000.0, "fallMultiple": 5.0,
            "startCapacity": 0.2, "warmUp": 10000.0},
        "policyLimits": {"maxRetryAfter": 1000.0},
        "specifics": {"cores": 2, "heapKb": 2000.0, "runFactor": 4.0, "halt": "discard", "say": "off",
            "dependsOn": "off", "gauges": ["runnable", "cpu_busy"]},
        "tenants": [{"name": "a", "allowancePerS": 5.0}]
    })
}

fn batch(t: f64, id: u64, events: &Value) -> String {
    json!({"t": t, "backends": [{"backendId": id, "events": events}]}).to_string()
}

fn start_host() -> Host {
    let mut host = Host::default();
    let reply = host.handle_line(&batch(
        1.0,
        3,
        &json!([{"Spawn": {"nonce64": 9, "facts": settings()}}]),
    ));
    assert!(reply.expect("it starts").contains("\"backendId\":3"));
    host
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(
        Host::default()
            .handle_line(r#"{"t":1,"backends":[]}"#)
            .as_deref(),
        Ok(r#"{"backends":[]}"#)
    );
}

#[test]
fn a_request_is_admitted_under_its_own_id_even_with_unknown_names() {
    let mut host = start_host();
    let id = (1_u64 << 52) - 1;
    for (n, query) in [
        json!({"msgId": id, "type": "look", "userGroup": "a", "footprint": 10.0, "age": 1.5, "odd": [1]}),
        json!({"msgId": 5, "type": "never-told", "userGroup": "stranger", "footprint": 10.0}),
    ]
    .into_iter()
    .enumerate()
    {
        let reply = host.handle_line(&batch(2.0 + n as f64, 3, &json!([{"Query": query}]))).expect("a valid line");
        assert!(reply.contains(r#"{"Admit":{"msgId":"#), "{reply}");
    }
    let end = json!([{"Finished": {"msgId": id, "outcome": "GOOD", "duration": 3.0}}]);
    assert!(host.handle_line(&batch(9.0, 3, &end)).is_ok());
}

#[test]
fn a_malformed_line_is_reported_with_its_instance() {
    for (line, expected) in [
        ("no json".to_string(), "expected"),
        (
            batch(2.0, 8, &json!([{"Left": {"msgId": 1}}])),
            "backend 8: event for an instance never started",
        ),
        (
            batch(2.0, 3, &json!([{"Nonsense": {}}])),
            "backend 3: unknown variant",
        ),
        (
            batch(2.0, 3, &json!([{"Left": {}}])),
            "backend 3: missing field `msgId`",
        ),
        (
            batch(
                2.0,
                3,
                &json!([{"Finished": {"msgId": 1, "outcome": "HM"}}]),
            ),
            "unknown variant `HM`",
        ),
        (
            batch(
                2.0,
                3,
                &json!([{"Finished": {"msgId": 1, "outcome": "FULL"}}]),
            ),
            "backend 3: a run can't end",
        ),
    ] {
        let error = start_host()
            .handle_line(&line)
            .expect_err("a malformed line");
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    let mut without_cores = settings();
    without_cores["specifics"]["cores"] = json!(0);
    let spawn = batch(
        1.0,
        2,
        &json!([{"Spawn": {"nonce64": 1, "facts": without_cores}}]),
    );
    assert_eq!(
        Host::default().handle_line(&spawn),
        Err("backend 2: settings name no cores".into())
    );
}

#[test]
fn a_restarted_server_keeps_no_state() {
    let mut host = start_host();
    host.handle_line(&batch(
        2.0,
        3,
        &json!([{"Query": {"msgId": 7, "type": "look"}}]),
    ))
    .expect("a valid line");
    let spawn = json!({"Spawn": {"nonce64": 9, "facts": settings()}});
    let reply = host
        .handle_line(&batch(3.0, 3, &json!([{"Retire": {}}, spawn])))
        .expect("it restarts");
    assert!(
        !reply.contains("\"msgId\":7") && reply.contains("Readiness"),
        "{reply}"
    );
    assert!(host
        .handle_line(&batch(4.0, 3, &json!([{"Retire": {}}])))
        .is_ok());
    assert!(host
        .handle_line(&batch(5.0, 3, &json!([{"Left": {"msgId": 7}}])))
        .is_err());
}

#[test]
fn equal_events_give_equal_actions_in_any_host() {
    let run = || {
        let mut host = start_host();
        let queries: Vec<Value> = (1..40)
            .map(|id| json!({"Query": {"msgId": id, "type": "look", "userGroup": "a"}}))
            .collect();
        host.handle_line(&batch(2.0, 3, &Value::Array(queries)))
    };
    assert_eq!(run(), run());
}
