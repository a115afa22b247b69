"""A stand-in for the platform's list of VMs.

``GET /v1/vms`` returns the list, which is all that a daemon calls. Tests and the demo
add or change a VM with ``PUT /v1/vms/ID`` and remove one with ``DELETE /v1/vms/ID``.
Until the fault ``lag`` is cleared, the list stays as it was at the first reading after
the fault was set.
"""

import threading

from cranberrywick.standin.server import (
    Answer,
    Request,
    RunningStandIn,
    StandIn,
    json_answer,
    serve,
    start,
)

__all__ = ["VmListStandIn", "main", "start_vm_list"]

VMS_PATH = "/v1/vms"


class VmListStandIn(StandIn):
    """A list of VMs in memory."""

    def __init__(self, vms: list[dict] | None = None):
        super().__init__()
        # Guards the VMs, the revision and the copy answered under the fault ``lag``.
        self._lock = threading.Lock()
        self._vms_by_id = {vm["id"]: vm for vm in vms or []}
        self._revision = 1
        self._lagging: dict | None = None

    def handle(self, request: Request) -> Answer:
        """Answer with the list, or change one VM."""
        if request.path == VMS_PATH:
            return json_answer(200, self._answer_list())
        vm_id = request.path.removeprefix(VMS_PATH + "/")
        if request.method == "PUT":
            self.put(vm_id, request.json())
        elif request.method == "DELETE":
            self.remove(vm_id)
        return json_answer(200, {})

    def put(self, vm_id: str, fields: dict) -> None:
        """Add a VM with these fields, or change them in an existing one."""
        with self._lock:
            known = self._vms_by_id.get(vm_id, {"state": "live"})
            self._vms_by_id[vm_id] = {**known, **fields, "id": vm_id}
            self._revision += 1

    def remove(self, vm_id: str) -> None:
        """Remove a VM."""
        with self._lock:
            self._vms_by_id.pop(vm_id, None)
            self._revision += 1

    def freeze(self) -> None:
        """Answer with the present list until the fault ``lag`` is cleared."""
        with self._lock:
            self._lagging = self._listed()
        self.faults.set("lag")

    def _answer_list(self) -> dict:
        lag = self.faults.take("lag", VMS_PATH)
        with self._lock:
            if lag is None:
                self._lagging = None
                return self._listed()
            if self._lagging is None:
                self._lagging = self._listed()
            return self._lagging

    def _listed(self) -> dict:
        vms = [vm for _, vm in sorted(self._vms_by_id.items())]
        return {"revision": self._revision, "vms": vms}


def start_vm_list(
    vms: list[dict] | None = None, listen: str = "127.0.0.1:0"
) -> RunningStandIn:
    """Run a new stand-in on a thread of this process and return it."""
    return start(VmListStandIn(vms), listen)


def main(listen: str) -> None:
    """Run the stand-in as a process until SIGTERM or SIGINT."""
    serve(VmListStandIn(), listen)
