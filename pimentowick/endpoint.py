"""Endpoints of entries and targets: an IP address and a port, as ``IP:port``."""

import ipaddress

__all__ = ["parse"]

MAX_PORT = 65_535
# Four numbers of three digits, three dots, a colon and five digits.
MAX_CHARS = 21


def parse(text):
    """Return the IP address and the port of an endpoint to which one may connect.

    Raises:
        ValueError: It is not an IPv4 address of one host and a port.

    Examples:
        >>> parse("10.3.64.14:8587")
        ('10.3.64.14', 8587)
        >>> for odd in ("10.3.64.14", "10.3.64.14:70000", "0.0.0.0:80", "host:80"):
        ...     try:
        ...         parse(odd)
        ...     except ValueError:
        ...         print("odd")
        odd
        odd
        odd
        odd
    """
    if len(text) > MAX_CHARS:
        raise ValueError("An endpoint is too long.")
    ip, _, port = text.rpartition(":")
    parsed = ipaddress.IPv4Address(ip)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise ValueError(f"{ip} is not the address of one host.")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"The port of {ip} is not one from 1 to {MAX_PORT}.")
    return ip, int(port)
