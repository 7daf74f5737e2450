use mustardhinge_core::prelude::LeaderTerm;

use super::member::PrimaryLink;
use super::{TargetBuilder, TargetHandle};

/// The term of the first primary of a group.
const FIRST_TERM: LeaderTerm = LeaderTerm::new(1);

/// Targets that form one database group.
#[derive(Clone, Debug)]
pub struct TargetGroup {
    /// The targets; the first is the primary of term 1.
    pub targets: Vec<TargetHandle>,
}

impl TargetGroup {
    /// Starts one target per builder; the first becomes the primary of term 1
    /// and the others follow it.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub async fn start(builders: Vec<TargetBuilder>) -> std::io::Result<Self> {
        let mut targets = Vec::with_capacity(builders.len());
        for builder in builders {
            targets.push(builder.start().await?);
        }
        if let Some((primary, replicas)) = targets.split_first() {
            // A new target grants any term and follows any primary.
            let _ = primary.fence(FIRST_TERM, primary.name());
            let _ = primary.promote(FIRST_TERM, primary.name());
            for replica in replicas {
                let _ = replica.follow(PrimaryLink {
                    term: FIRST_TERM,
                    name: primary.name().to_owned(),
                    address: primary.address(),
                });
            }
        }
        Ok(Self { targets })
    }

    /// Starts `count` targets of one kind, named `<name>-1` and so on.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on.
    pub async fn start_uniform(builder: &TargetBuilder, count: usize) -> std::io::Result<Self> {
        let prefix = builder.get_name();
        let builders =
            (1..=count).map(|number| builder.clone().name(&format!("{prefix}-{number}")));
        Self::start(builders.collect()).await
    }

    /// Returns the target that was the first primary.
    ///
    /// # Panics
    ///
    /// Panics if the group is empty.
    #[must_use]
    pub fn first(&self) -> &TargetHandle {
        &self.targets[0]
    }

    /// Ends all tasks of all targets.
    pub async fn shutdown(self) {
        for target in self.targets {
            target.shutdown().await;
        }
    }
}
