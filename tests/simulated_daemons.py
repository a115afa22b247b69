"""The numbers in the names of simulated daemons, for tests that divide a fleet."""

from cranberrywick.bench.simulated_network import daemon_address

__all__ = ["number_of"]

_NUMBERS_BY_ADDRESS = {daemon_address(f"d{n:03}"): n for n in range(1000)}


def number_of(address: str) -> int:
    """Return the number in the name of the daemon at an address."""
    return _NUMBERS_BY_ADDRESS[address]
