"""Tests for the controller that keeps the endpoints' state current.

Guards against work for endpoints that leave, and against a listing that costs too much
traffic.
"""

from configuration_documents import document

from cranberrywick.configuration.document import check
from cranberrywick.controllers.endpoints import EndpointBoard, EndpointController
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.dispatcher import Dispatcher
from cranberrywick.external.vms import Vm, VmListing, VmRole, VmState
from cranberrywick.logs import EventLog
from cranberrywick.model import EndpointLoad, EndpointPhase

KIND = "drafting"


class Fixture:
    """A controller called directly, with a VM list and a clock set by the test."""

    def __init__(self, n_vms=2):
        self.now = 0.0
        self.reads = 0
        self.revision = 1
        self.states = {f"e{i}": VmState.LIVE for i in range(n_vms)}
        self.left = []
        self.board = EndpointBoard()
        self.controller = EndpointController(
            self,
            self.board,
            Dispatcher(make_strategy("least-outstanding", seed=1)),
            EventLog(),
            on_leaving=lambda *arguments: self.left.append(arguments),
            clock=lambda: self.now,
        )
        self.controller.configure(check(document()))

    def read(self):
        """Return the listing; the fixture takes the place of the VM list."""
        self.reads += 1
        vms = [
            Vm(name, VmRole.ENDPOINT, KIND, "127.0.0.1:1", None, "a", "r", state)
            for name, state in self.states.items()
        ]
        return VmListing(self.revision, {vm.vm_id: vm for vm in vms})

    def refresh(self, seconds):
        self.now += seconds
        self.controller.refresh_list()


def test_what_the_list_says_of_a_leaving_endpoint_is_passed_on_once():
    """Guards against work for a leaving endpoint from daemons with an older list.

    This daemon must report the endpoint and its leaving incarnation at once, but not
    again with each later list.
    """
    fixture = Fixture()
    fixture.refresh(0.0)
    fixture.controller.record_load(EndpointLoad("e0", 7, EndpointPhase.WARM, 0.0))
    fixture.states["e0"] = VmState.LEAVING
    fixture.revision = 2

    fixture.refresh(2.0)
    fixture.revision = 3
    fixture.refresh(2.0)

    assert fixture.left == [("e0", 7)]
    assert fixture.board.loads_by_id["e0"].phase is EndpointPhase.LEAVING


def test_a_large_list_is_read_less_often():
    """Guards against a VM list that costs more than all other control traffic.

    A list of 940 VMs has 154 KB. Read every 30 seconds, it costs about 5 KB per second.
    """
    fixture = Fixture(n_vms=940)
    for _ in range(60):
        fixture.refresh(1.0)

    assert fixture.reads <= 3


def test_a_list_that_lags_brings_nothing_back():
    fixture = Fixture()
    fixture.refresh(0.0)
    fixture.states = {"e1": VmState.LIVE}
    fixture.revision = 2
    fixture.refresh(2.0)
    fixture.states = {"e0": VmState.LIVE, "e1": VmState.LIVE}
    fixture.revision = 1

    fixture.refresh(2.0)

    assert set(fixture.board.endpoints_by_id) == {"e1"}
