//! Invalid settings, and requests of unlisted classes and tenants.

mod common;

use common::*;
use policy::*;

#[test]
fn settings_out_of_range_are_rejected_with_the_reason() {
    let error_after = |f: fn(&mut Settings)| {
        let mut s = settings();
        f(&mut s);
        Policy::new(s, 1).err()
    };
    assert_eq!(error_after(|s| s.cores = 0), Some(SettingsError::NoCores));
    assert_eq!(error_after(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(
        error_after(|s| s.drain_grace = Span(-1)),
        Some(SettingsError::NegativeDuration("drain_grace"))
    );
    assert_eq!(
        error_after(|s| s.classes[1].latency_objective = Span(-1)),
        Some(SettingsError::NegativeDuration("aim"))
    );
    assert_eq!(error_after(|s| s.memory_kb = f64::NAN), Some(SettingsError::InvalidNumber("memory_kb")));
    assert_eq!(error_after(|_| ()), None);
}

#[test]
fn requests_of_unlisted_classes_and_tenants_run() {
    let mut s = Server::new(settings());
    let unlisted = Request { class: ClassId(99), tenant: Some(TenantId(u64::MAX)), ..request(1, 0) };
    assert_eq!(started(&s.handle_at(1000.0, &[Event::RequestRead(unlisted)])), [1]);
}
