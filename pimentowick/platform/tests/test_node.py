import pytest

from pimentowick import exception
from pimentowick.platform import node

LINES = [
    "node_name = front-1",
    "ip = 127.0.0.1",
    "zone = here",
    "listen.front = 127.0.0.1:80",
    "listen.ready = 127.0.0.1:81",
    "port_range = 7000,7009",
    "platform.address = 127.0.0.1:90",
    "bounds.grace_s = 6",
    "unknown = whatever",
]


def read(directory, lines):
    path = directory / "node.conf"
    path.write_text("\n".join(lines))
    return node.read_settings(path)


def test_settings_are_read_and_unknown_keys_ignored(tmp_path):
    settings = read(tmp_path, LINES)
    assert settings.peer_ports == (7000, 7009)
    assert settings.stop_grace_s == 6.0


@pytest.mark.parametrize(
    ("number", "line", "expected_words"),
    [
        (7, "bounds.grace_s = soon", ["node.conf:8", "bounds.grace_s", "number"]),
        (5, "port_range = many", ["node.conf:6", "port_range", "'many'"]),
        (1, "", ["ip", "required"]),
    ],
)
def test_error_names_file_line_key_and_expected_value(
    tmp_path, number, line, expected_words
):
    # The platform writes the file, so the error has to locate the invalid line.
    lines = list(LINES)
    lines[number] = line
    with pytest.raises(exception.SettingsError) as caught:
        read(tmp_path, lines)
    assert all(word in str(caught.value) for word in expected_words)
