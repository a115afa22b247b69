"""Addresses to connect to, as other programs state them."""

from functools import lru_cache
from ipaddress import ip_address
from typing import NamedTuple

__all__ = ["MAX_PORT", "Address", "is_address", "parse_address"]

MAX_PORT = 65_535
MAX_PORT_DIGITS = len(str(MAX_PORT))
# Longest text that is read, in characters; an IPv6 address with a port has 47.
MAX_CHARACTERS = 64


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
    parsed = _parse(text[: MAX_CHARACTERS + 1], allows_ipv6)
    if isinstance(parsed, str):
        raise ValueError(parsed)
    return parsed


def is_address(text: str) -> bool:
    """Whether a text names an address, as `parse_address` reads it."""
    return not isinstance(_parse(text[: MAX_CHARACTERS + 1], False), str)


# The same few addresses are read with each datagram.
@lru_cache(maxsize=4096)
def _parse(text: str, allows_ipv6: bool) -> Address | str:
    """Return an address, or why a text is none."""
    host, _, digits = text.rpartition(":")
    # int() also takes digits of other scripts.
    is_port = digits.isascii() and digits.isdigit() and len(digits) <= MAX_PORT_DIGITS
    port = int(digits) if is_port else 0
    if not 0 < port <= MAX_PORT or len(text) > MAX_CHARACTERS:
        return "its port isn't a number from 1 to 65535"
    is_bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if is_bracketed else host
    try:
        ip = ip_address(host)
    except ValueError:
        return "its host isn't an IP address"
    # A scope may hold any text.
    if is_bracketed != (ip.version == 6) or "%" in host:
        return "its host isn't an IP address"
    if ip.version == 6 and not allows_ipv6:
        return "its host isn't an IPv4 address"
    ip = getattr(ip, "ipv4_mapped", None) or ip
    # Of IPv6, the blocks that count as reserved include loopback and translated ones.
    is_reserved = ip.version == 4 and ip.is_reserved
    if ip.is_unspecified or ip.is_multicast or is_reserved:
        return "its host isn't the address of one VM"
    return Address(host, port)
