"""Endpoints of entries and targets: an IP address and a port, as ``IP:port``."""

import ipaddress

__all__ = ["parse", "split"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Four numbers of three digits, and three dots.
MAX_IP_CHARS = 15


def split(text):
    """Return the host and the port of an endpoint.

    Raises:
        ValueError: It has no port from 1 to 65,535.

    Examples:
        >>> split("entry-a:7660")
        ('entry-a', 7660)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"An endpoint has no port from 1 to {MAX_PORT}.")
    return host, int(port)


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
    ip, port = split(text)
    if len(ip) > MAX_IP_CHARS:
        raise ValueError("An IP address is too long.")
    parsed = ipaddress.IPv4Address(ip)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise ValueError(f"{ip} is not the address of one host.")
    return ip, port
