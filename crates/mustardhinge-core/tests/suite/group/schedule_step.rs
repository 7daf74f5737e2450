use proptest::prelude::*;

/// A step of a random schedule; indexes are taken modulo the number of items.
#[derive(Clone, Debug)]
pub(crate) enum ScheduleStep {
    Write { server: usize },
    Replicate { server: usize, count: usize },
    ReportToTrackers { server: usize },
    JoinFloor,
    Deliver { index: usize, duplicate: bool },
    Drop { index: usize },
    Advance { millis: u64, deliver: bool },
    PauseAgent { agent: usize, millis: u64 },
    RestartAgent { agent: usize, rank: usize },
    Leave { agent: usize, server: usize },
    ToggleServer { server: usize },
    ToggleLink { agent: usize, server: usize },
    ToggleStore,
    Switchover { agent: usize },
}

/// Generates schedules of `max_steps / 2` to `max_steps - 1` steps.
pub(crate) fn schedule(max_steps: usize) -> impl Strategy<Value = Vec<ScheduleStep>> {
    proptest::collection::vec(step(), max_steps / 2..max_steps)
}

fn step() -> impl Strategy<Value = ScheduleStep> {
    use ScheduleStep as Step;
    let (server, agent, position) = (0..5_usize, 0..2_usize, any::<usize>());
    prop_oneof![
        20 => server.clone().prop_map(|server| Step::Write { server }),
        10 => (server.clone(), 1..4_usize)
            .prop_map(|(server, count)| Step::Replicate { server, count }),
        10 => server.clone().prop_map(|server| Step::ReportToTrackers { server }),
        4 => Just(Step::JoinFloor),
        20 => (position, any::<bool>())
            .prop_map(|(index, duplicate)| Step::Deliver { index, duplicate }),
        4 => position.prop_map(|index| Step::Drop { index }),
        14 => (20..500_u64, any::<bool>())
            .prop_map(|(millis, deliver)| Step::Advance { millis, deliver }),
        2 => (agent.clone(), 100..900_u64)
            .prop_map(|(agent, millis)| Step::PauseAgent { agent, millis }),
        2 => (agent.clone(), 0..2_usize)
            .prop_map(|(agent, rank)| Step::RestartAgent { agent, rank }),
        1 => (agent.clone(), server.clone())
            .prop_map(|(agent, server)| Step::Leave { agent, server }),
        4 => server.clone().prop_map(|server| Step::ToggleServer { server }),
        3 => (agent.clone(), server)
            .prop_map(|(agent, server)| Step::ToggleLink { agent, server }),
        1 => Just(Step::ToggleStore),
        1 => agent.prop_map(|agent| Step::Switchover { agent }),
    ]
}
