use {
    crate::settings::load_settings,
    anyhow::{Context, Result},
    clap::Parser,
    mango_wire::settings::Settings,
    std::path::PathBuf,
};

/// Routes requests from callers to endpoints.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "mangobridge",
    version,
    after_help = "Examples:\n  mangobridge --settings /etc/mangobridge/settings.json\n  \
                  mangobridge --settings settings.json --check\n  \
                  mangobridge --on-platform"
)]
pub(crate) struct Args {
    /// Settings file (JSON), see docs/operations/settings.md.
    #[arg(short, long, value_name = "FILE", required_unless_present = "on_platform")]
    pub(crate) settings: Option<PathBuf>,
    /// Serve on the users' platform. Without --settings, the platform provides the path
    /// of the settings file.
    #[arg(long)]
    pub(crate) on_platform: bool,
    /// Check the settings file and exit.
    #[arg(long)]
    pub(crate) check: bool,
}

impl Args {
    /// Loads and checks the settings file.
    pub(crate) fn load_settings(&self) -> Result<Settings> {
        load_settings(self.settings.as_deref().context("option --settings is required")?)
    }
}
