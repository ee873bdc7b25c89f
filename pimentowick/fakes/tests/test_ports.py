import pathlib

from pimentowick.fakes import platform_site

RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_RANGE = "32768 60999"


def test_ports_are_outside_the_ephemeral_range():
    # The ports of an entry are chosen before it starts. The kernel could assign an
    # ephemeral port to an outgoing connection meanwhile, so that the entry could not
    # bind to it.
    text = (
        RANGE_FILE.read_text(encoding="utf-8") if RANGE_FILE.exists() else DEFAULT_RANGE
    )
    first, last = map(int, text.split())
    found = [platform_site.find_free_port() for _ in range(50)]
    assert not [port for port in found if first <= port <= last]


def test_consecutive_ports_differ():
    assert len({platform_site.find_free_port() for _ in range(50)}) == 50
