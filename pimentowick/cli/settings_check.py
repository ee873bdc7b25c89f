"""``pimentowick settings check``: a settings file, without a fleet."""

from pimentowick import exception, settings, tls
from pimentowick.cli import base
from pimentowick.platform import node

__all__ = ["SettingsCheck"]

MODELS = {"entry": settings.EntrySettings, "agent": settings.AgentSettings}


class SettingsCheck(base.OfflineCommand):
    """Checks a settings file of an entry, an agent or a gateway."""

    name = "settings check"
    description = "Check a settings file; names each fault with its line."
    examples = (
        "pimentowick settings check entry entry.yaml",
        "pimentowick settings check agent agent.yaml --json",
        "pimentowick settings check gateway node.conf",
    )
    arguments = [
        base.get_argument("role", "entry, agent or gateway."),
        base.get_argument("file", "YAML file; for a gateway, the platform's file."),
    ]

    def _run_command(self):
        if self.argument("role") == "gateway":
            self._check_gateway()
            return
        model = MODELS.get(self.argument("role"))
        if model is None:
            base.fail_usage(
                f"{self.argument('role')}: Expected entry, agent or gateway."
            )
        try:
            found = settings.load_settings(model, self.argument("file"))
            tls.make_client_tls(found.tls)
        except exception.SettingsError as error:
            base.fail_usage(str(error))
        self.show({"name": found.name}, f"{self.argument('file')} is fine.")

    def _check_gateway(self):
        try:
            found = node.read_settings(self.argument("file"))
        except exception.SettingsError as error:
            base.fail_usage(str(error))
        self.show({"name": found.name}, f"{self.argument('file')} is fine.")
