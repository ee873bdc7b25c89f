import pathlib

from pimentowick.fakes import platform_site

RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_RANGE = "32768 60999"


def test_ports_are_none_that_connections_get():
    # A stand-in chooses the ports of an entry before it starts. Meanwhile the kernel
    # gives a port of its range to any connection that opens, and the entry finds its
    # address in use.
    text = RANGE.read_text(encoding="utf-8") if RANGE.exists() else DEFAULT_RANGE
    first, last = map(int, text.split())
    found = [platform_site.find_free_port() for _ in range(50)]
    assert not [port for port in found if first <= port <= last]


def test_ports_of_one_entry_differ():
    assert len({platform_site.find_free_port() for _ in range(50)}) == 50
