"""Addresses to connect to, as other programs state them."""

from ipaddress import ip_address
from typing import NamedTuple

__all__ = ["MAX_PORT", "Address", "is_address", "parse_address"]

MAX_PORT = 65_535


class Address(NamedTuple):
    """The IP address of a VM and a port."""

    host: str
    port: int


def parse_address(text: str, allows_ipv6: bool = False) -> Address:
    """Return the address that a text of the form ``ip:port`` names.

    An IPv6 address stands in brackets. Raises ValueError for any other text, a name of
    a VM included, and for addresses that can't be one VM's.

    >>> parse_address("10.0.0.2:7000")
    Address(host='10.0.0.2', port=7000)
    """
    host, _, digits = text.rpartition(":")
    # int() also takes digits of other scripts.
    is_port = (
        digits.isascii() and digits.isdigit() and len(digits) <= len(f"{MAX_PORT}")
    )
    port = int(digits) if is_port else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError("its port isn't a number from 1 to 65535")
    is_bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if is_bracketed else host
    try:
        ip = ip_address(host)
    except ValueError:
        raise ValueError("its host isn't an IP address") from None
    if is_bracketed != (ip.version == 6) or ip.version == 6 and not allows_ipv6:
        raise ValueError("its host isn't an IPv4 address")
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueError("its host isn't the address of one VM")
    return Address(host, port)


def is_address(text: str) -> bool:
    """Whether a text names an address, as `parse_address` reads it."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
