"""``pimentowick settings check``: a settings file, without a fleet."""

from pimentowick import exception, settings, tls
from pimentowick.cli import base

__all__ = ["SettingsCheck"]

MODELS = {"entry": settings.EntrySettings, "agent": settings.AgentSettings}


class SettingsCheck(base.OfflineCommand):
    """Checks a settings file of an entry or agent."""

    name = "settings check"
    description = "Check a settings file; names each fault with its line."
    examples = (
        "pimentowick settings check entry entry.yaml",
        "pimentowick settings check agent agent.yaml --json",
    )
    arguments = [
        base.get_argument("role", "entry or agent."),
        base.get_argument("file", "YAML file."),
    ]

    def _run_command(self):
        model = MODELS.get(self.argument("role"))
        if model is None:
            base.fail_usage(f"{self.argument('role')}: Expected entry or agent.")
        try:
            found = settings.load_settings(model, self.argument("file"))
            tls.make_client_tls(found.tls)
        except exception.SettingsError as error:
            base.fail_usage(str(error))
        self.show({"name": found.name}, f"{self.argument('file')} is fine.")
