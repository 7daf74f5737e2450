use mustardhinge_config::settings::EntrySettings;

use super::EntryProcess;

/// Builds an entry from its settings.
///
/// # Examples
///
/// ```no_run
/// # async fn run(settings: mustardhinge_config::settings::EntrySettings) -> anyhow::Result<()> {
/// use mustardhinge_entry::process::EntryBuilder;
///
/// let entry = EntryBuilder::new(settings).start().await?;
/// entry.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct EntryBuilder {
    settings: EntrySettings,
    traffic: Option<tokio::runtime::Handle>,
}

impl EntryBuilder {
    /// Starts from the settings.
    #[must_use]
    pub fn new(settings: EntrySettings) -> Self {
        let traffic = None;
        Self { settings, traffic }
    }

    /// Carries traffic on this runtime instead of the present one, which then
    /// carries control alone.
    #[must_use]
    pub fn traffic_runtime(mut self, traffic: tokio::runtime::Handle) -> Self {
        self.traffic = Some(traffic);
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn get_settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Tells whether traffic has a runtime of its own.
    #[must_use]
    pub fn is_traffic_runtime_set(&self) -> bool {
        self.traffic.is_some()
    }

    /// Starts the entry.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken or the TLS files can't be used.
    pub async fn start(self) -> anyhow::Result<EntryProcess> {
        let traffic = self.traffic.unwrap_or_else(tokio::runtime::Handle::current);
        EntryProcess::start(self.settings, traffic).await
    }
}
