"""``pimentowick settings reference``: generates docs/SETTINGS.md."""

from pimentowick.cli import base, reference

__all__ = ["SettingsReference"]


class SettingsReference(base.OfflineCommand):
    """Prints all settings with types, defaults and bounds."""

    name = "settings reference"
    description = "Print the reference of all settings as Markdown."
    examples = ("pimentowick settings reference > docs/SETTINGS.md",)

    def _run_command(self):
        text = reference.format_reference()
        self.show({"reference": text}, text)
