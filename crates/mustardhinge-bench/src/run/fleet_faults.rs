use mustardhinge_standins::forward::ForwardHandle;
use mustardhinge_standins::target::TargetHandle;

use super::Fleet;

impl Fleet {
    /// Does something to the primary of each group and the network before it.
    pub fn each_primary(&self, action: impl Fn(&TargetHandle, &ForwardHandle)) {
        for group in &self.groups {
            let index = group.primary_index();
            action(&group.targets[index], &group.links[index]);
        }
    }

    /// Does something to the network before each target.
    pub fn each_link(&self, action: impl Fn(&ForwardHandle)) {
        self.groups
            .iter()
            .flat_map(|group| &group.links)
            .for_each(action);
    }

    /// Makes all targets answer late.
    pub fn set_late_answers(&self, late_ms: u32) {
        for target in self.groups.iter().flat_map(|group| &group.targets) {
            target.change_faults(|faults| faults.late_ms = late_ms);
        }
    }

    /// Ends every freeze and cut of targets.
    pub fn thaw_targets(&self) {
        for target in self.groups.iter().flat_map(|group| &group.targets) {
            target.set_frozen(false);
        }
        self.each_link(|link| link.change_link(|faults| faults.frozen = false));
    }
}
