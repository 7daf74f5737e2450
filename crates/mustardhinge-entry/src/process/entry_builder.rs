use mustardhinge_config::settings::EntrySettings;

use super::EntryProcess;

/// Builder of an entry process.
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
    /// Creates a builder with these settings.
    #[must_use]
    pub fn new(settings: EntrySettings) -> Self {
        let traffic = None;
        Self { settings, traffic }
    }

    /// Sets a separate runtime for traffic. The current runtime then only runs the
    /// control tasks.
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

    /// Returns whether a separate runtime for traffic is set.
    #[must_use]
    pub fn is_traffic_runtime_set(&self) -> bool {
        self.traffic.is_some()
    }

    /// Starts the entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the TLS files are invalid.
    pub async fn start(self) -> anyhow::Result<EntryProcess> {
        let traffic = self.traffic.unwrap_or_else(tokio::runtime::Handle::current);
        EntryProcess::start(self.settings, traffic).await
    }
}
