"""The pages of docs/: their commands run, and they leave nothing out."""

import pytest

from pimentowick import settings
from pimentowick.tests import pages


def test_commands_of_the_operators_page_run_as_written(tmp_path):
    output = pages.run_page("OPERATIONS.md", tmp_path)
    assert "40 of 40 completed" in output
    assert "cancelled" in output
    secrets = [path.read_text() for path in tmp_path.glob("*/**/*.token")]
    assert len(secrets) == 4
    for secret in secrets:
        assert secret.strip().partition(".")[2] not in output


@pytest.mark.parametrize("name", ["bajio", "nordland"])
@pytest.mark.parametrize("role", ["Entry", "Agent"])
def test_example_settings_are_valid(name, role):
    path = pages.ROOT / "deployments" / f"{name}-{role.lower()}.example.yaml"
    model = getattr(settings, f"{role}Settings")
    assert settings.load_settings(model, path).name
