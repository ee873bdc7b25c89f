"""``pimentowick settings check``: validates a settings file offline."""

from pimentowick import exception, settings, tls
from pimentowick.cli import base
from pimentowick.platform import node

__all__ = ["SettingsCheck"]

SETTINGS_MODELS = {"entry": settings.EntrySettings, "agent": settings.AgentSettings}


class SettingsCheck(base.OfflineCommand):
    """Validates a settings file of an entry, an agent or a gateway."""

    name = "settings check"
    description = "Check a settings file and report each error with its line."
    examples = (
        "pimentowick settings check entry entry.yaml",
        "pimentowick settings check agent agent.yaml --json",
        "pimentowick settings check gateway node.conf",
    )
    arguments = [
        base.make_argument("role", "entry, agent or gateway."),
        base.make_argument("file", "YAML file; for a gateway, the platform's file."),
    ]

    def _run_command(self):
        if self.argument("role") == "gateway":
            self._check_gateway()
            return
        model = SETTINGS_MODELS.get(self.argument("role"))
        if model is None:
            base.raise_usage_error(
                f"{self.argument('role')}: Expected entry, agent or gateway."
            )
        try:
            loaded = settings.load_settings(model, self.argument("file"))
            tls.make_client_tls(loaded.tls)
        except exception.SettingsError as error:
            base.raise_usage_error(str(error))
        self.show({"name": loaded.name}, f"{self.argument('file')} is valid.")

    def _check_gateway(self):
        try:
            loaded = node.read_settings(self.argument("file"))
        except exception.SettingsError as error:
            base.raise_usage_error(str(error))
        self.show({"name": loaded.name}, f"{self.argument('file')} is valid.")
