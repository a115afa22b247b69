"""Entries that are unusual, and can be used.

Guards against entries of which requests were served that are refused as odd ones.
"""

import pytest

from cranberrywick.addresses import parse_address


@pytest.mark.parametrize(
    "text", ["[::1]:80", "[::ffff:10.0.0.1]:80", "[64:ff9b::a00:1]:80", "[fd00::1]:80"]
)
def test_ipv6_addresses_of_vms_are_read(text):
    """Guards against VMs that leave the list of `serve` by their kind of address."""
    assert parse_address(text, allows_ipv6=True).port == 80


@pytest.mark.parametrize("text", ["[::]:80", "[ff02::1]:80", "[::ffff:0.0.0.0]:80"])
def test_ipv6_addresses_of_no_vm_are_not_read(text):
    """Guards against addresses at which the own VM answers, or several do."""
    with pytest.raises(ValueError):
        parse_address(text, allows_ipv6=True)
