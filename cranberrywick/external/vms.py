"""The platform's list of VMs, which lags behind what is true."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.exchange import Exchange

__all__ = ["Vm", "VmList", "VmListing", "VmRole", "VmState"]


class VmRole(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(StrEnum):
    """Whether a VM stays."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One VM; ``kind`` names an entry of the configuration's ``endpoint_kinds``."""

    vm_id: str
    role: VmRole
    kind: str
    address: str
    peer_address: str | None
    failure_domain: str
    region: str
    state: VmState


class VmListing(NamedTuple):
    """The list at one revision, by id."""

    revision: int
    vms_by_id: dict[str, Vm]


class VmList:
    """Reads the list of VMs over HTTP.

    >>> VmList("http://127.0.0.1:8400").read().vms_by_id["engine-1"].address
    '127.0.0.1:9001'
    """

    def __init__(self, url: str):
        self._exchange = Exchange((url,))

    def read(self) -> VmListing:
        """Return the list; an entry that makes no sense is left out.

        Raises `PlatformUnavailable` without an answer or with one whose shape is
        wrong as a whole.
        """
        fields = self._exchange.call("GET", "/v1/vms").fields
        try:
            revision = int(fields["revision"])
            found = [_read_vm(vm) for vm in fields["vms"]]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(f"malformed VM list: {error!r}") from error
        return VmListing(revision, {vm.vm_id: vm for vm in found if vm is not None})


def _read_vm(fields: dict) -> Vm | None:
    # One malformed VM must not take the others out of service.
    try:
        return Vm(
            str(fields["id"]),
            VmRole(fields["role"]),
            str(fields.get("kind") or ""),
            str(fields["address"]),
            fields.get("peer_address"),
            str(fields["failure_domain"]),
            str(fields["region"]),
            VmState(fields["state"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None
