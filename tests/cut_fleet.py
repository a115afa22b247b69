"""A fleet of gateways, each of which can be cut from endpoints, for tests.

with running_cut_fleet(tmp_path, gateways=3) as fleet:
    fleet.cut(fleet.gateways[0], "hang")
"""

import json
import subprocess
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from gateway_fleet import Fleet, Gateway, configuration, start_process

MODES = ("hang", "refuse", "reset")


class CutFleet(Fleet):
    """A fleet whose gateways can be cut from endpoints one by one.

    Gateways connect to endpoints from their own addresses.
    """

    @property
    def names_by_ip(self) -> dict[str, str]:
        """The names of the gateways by the addresses that they connect from."""
        return {gateway.settings["ip"]: gateway.name for gateway in self.gateways}

    def start_process(self, settings: Path, log: Path) -> subprocess.Popen:
        return start_process(
            settings, log, "cut_gateway.py", CUT_FILE=str(self._cut_path(settings.stem))
        )

    def cut(
        self,
        gateway: Gateway,
        mode: str = "hang",
        endpoint_ids: Iterable[str] | None = None,
    ) -> None:
        """Cut a gateway from endpoints, by default from all of them."""
        wanted = self.endpoints if endpoint_ids is None else endpoint_ids
        addresses = [self.addresses_by_id[each] for each in wanted]
        self._write_cut(gateway, {"mode": mode, "addresses": addresses})

    def restore(self, gateway: Gateway) -> None:
        """Let a gateway reach all endpoints again."""
        self._write_cut(gateway, {"mode": "", "addresses": []})

    def _write_cut(self, gateway: Gateway, cut: dict) -> None:
        path = self._cut_path(gateway.name)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(cut))
        written.replace(path)

    def _cut_path(self, name: str) -> Path:
        return self.path / f"{name}.cut"


@contextmanager
def running_cut_fleet(
    path: Path, gateways: int = 3, desks: int = 3, engines: int = 3
) -> Iterator[CutFleet]:
    """Run gateways before plain endpoints and engines, all links whole."""
    fleet = CutFleet(path)
    try:
        fleet.configure(configuration())
        for number in range(1, desks + 1):
            fleet.add_endpoint(f"desk-{number}", "desk")
        for number in range(1, engines + 1):
            fleet.add_endpoint(f"pool-{number}", "pool")
        for number in range(1, gateways + 1):
            fleet.start_gateway(f"gateway-{number}")
        yield fleet
    finally:
        fleet.close()
