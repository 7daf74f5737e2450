use std::time::Duration;

/// Returns the processor time of this process's threads whose name begins with
/// `prefix`.
#[must_use]
pub fn read_thread_cpu(prefix: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    threads
        .flatten()
        .filter(|thread| {
            let name = std::fs::read_to_string(thread.path().join("comm"));
            name.is_ok_and(|name| name.starts_with(prefix))
        })
        .filter_map(|thread| {
            let usage = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            usage.split_whitespace().next()?.parse().ok()
        })
        .map(Duration::from_nanos)
        .sum()
}
