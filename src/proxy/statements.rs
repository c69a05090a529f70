//! What a target states about itself in its responses: the rate of requests that it takes, and that it is
//! leaving.

use std::time::Instant;

use http::HeaderMap;

use crate::{node::Core, policy::stated_limit::StatedRate, proxy::HeaderNames};

/// Applies the statements of a response, whose request was sent to the target at `sent`.
pub(super) fn apply_statements(core: &Core, target: &str, headers: &HeaderMap, sent: Instant) {
    let now = core.clock.now();
    let names = &core.header_names;
    let text = |name| headers.get(name).map(|v| v.to_str().unwrap_or(""));
    let stated = text(&names.rate_limit);
    let rate = StatedRate::parse(stated);
    if rate == StatedRate::Malformed {
        spdlog::warn!("target states a malformed rate limit", kv: { target, stated = stated.unwrap_or("") });
    }
    if core.admission.apply_stated_rate(target, rate, sent, now) {
        spdlog::info!("rate limit stated by target changed", kv: { target, stated = stated.unwrap_or("none") });
        core.update_record();
    }
    apply_leaving(core, target, headers);
}

/// Takes a target out of use if its response states that it is leaving.
pub(crate) fn apply_leaving(core: &Core, target: &str, headers: &HeaderMap) {
    let leaves = states_leaving(&core.header_names, headers);
    if leaves && core.admission.withdraw(target, core.clock.now()) {
        spdlog::info!("target states that it is leaving", kv: { target });
        core.update_record();
    }
}

/// Returns whether a response states that its target is leaving.
pub(crate) fn states_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|v| v == "1")
}
