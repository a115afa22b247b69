"""Client of the platform's list of VMs, which lags behind the VMs' actual state."""

from enum import StrEnum
from typing import NamedTuple

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.exchange import PlatformClient

__all__ = ["Vm", "VmList", "VmListing", "VmRole", "VmState"]


class VmRole(StrEnum):
    """What a VM runs: a daemon that is an entry, or an endpoint."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(StrEnum):
    """Whether a VM stays in service or is about to be removed."""

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
    """The list of VMs at one revision."""

    revision: int
    vms_by_id: dict[str, Vm]


class VmList:
    """Reads the list of VMs over HTTP.

    >>> VmList("http://127.0.0.1:8400").read().vms_by_id["engine-1"].address
    '127.0.0.1:9001'
    """

    def __init__(self, url: str):
        self._client = PlatformClient((url,))

    def read(self) -> VmListing:
        """Return the list; malformed VMs are left out.

        Raises `PlatformUnavailable` when there is no answer, or when the list as a
        whole is malformed.
        """
        fields = self._client.call("GET", "/v1/vms").fields
        try:
            revision = int(fields["revision"])
            vms = [_parse_vm(vm) for vm in fields["vms"]]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(f"malformed VM list: {error!r}") from error
        return VmListing(revision, {vm.vm_id: vm for vm in vms if vm is not None})


def _parse_vm(fields: dict) -> Vm | None:
    # One malformed VM must not make the whole list unusable.
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
