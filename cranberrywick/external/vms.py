"""Client of the platform's list of VMs, which lags behind the VMs' actual state."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Any, NamedTuple

from cranberrywick.errors import InvalidConfiguration, PlatformUnavailable
from cranberrywick.external.exchange import PlatformClient
from cranberrywick.fields import FIELD_ERRORS, address, name

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
    """The list of VMs at one revision.

    ``unusable_reasons_by_id`` says of entries that describe no usable VM why; such an
    entry without an id has its place in the list in place of it.
    """

    revision: int
    vms_by_id: dict[str, Vm]
    unusable_reasons_by_id: Mapping[str, str] = MappingProxyType({})


class VmList:
    """Reads the list of VMs over HTTP.

    >>> VmList("http://127.0.0.1:8400").read().vms_by_id["engine-1"].address
    '127.0.0.1:9001'
    """

    def __init__(self, url: str):
        self._client = PlatformClient((url,))

    def read(self) -> VmListing:
        """Return the list; VMs that can't be used are left out.

        Raises `PlatformUnavailable` when there is no answer, or when the list as a
        whole is malformed.
        """
        fields = self._client.call("GET", "/v1/vms").fields
        try:
            revision = int(fields["revision"])
            rows = list(fields["vms"])
        except FIELD_ERRORS as error:
            raise PlatformUnavailable(f"malformed VM list: {error!r}") from error
        vms_by_id: dict[str, Vm] = {}
        reasons_by_id: dict[str, str] = {}
        for number, row in enumerate(rows):
            # One unusable VM must not make the whole list unusable.
            try:
                vm = _parse_vm(row)
                vms_by_id[vm.vm_id] = vm
            except InvalidConfiguration as error:
                reasons_by_id[_id_of(row) or f"number {number}"] = error.message
        return VmListing(revision, vms_by_id, reasons_by_id)


def _parse_vm(fields: Any) -> Vm:
    """Return a VM; raises `InvalidConfiguration` for one that can't be used."""
    if not isinstance(fields, dict):
        raise InvalidConfiguration("it can't be read")
    try:
        role, state = VmRole(fields.get("role")), VmState(fields.get("state"))
    except (TypeError, ValueError):
        raise InvalidConfiguration("role or state is unknown") from None
    if not name(fields, "id"):
        raise InvalidConfiguration("the id is empty")
    peer_address = fields.get("peer_address")
    return Vm(
        fields["id"],
        role,
        "" if fields.get("kind") is None else name(fields, "kind"),
        address(fields, "address", allows_ipv6=True),
        None if peer_address is None else address(fields, "peer_address"),
        name(fields, "failure_domain"),
        name(fields, "region"),
        state,
    )


def _id_of(row: Any) -> str:
    stated = row.get("id") if isinstance(row, dict) else None
    return stated if isinstance(stated, str) else ""
