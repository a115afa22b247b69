"""The operators' commands against a daemon's operator interface.

Guards against a change that is lost, made twice or made on an outdated version, and
against failures without an exit code or type.

The golden file holds a session: the commands and their output. ``UPDATE_GOLDEN=1``
rewrites it; review the difference before committing it.
"""

import hashlib
import json
import os
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from configuration_documents import document

from cranberrywick.cli.config import config
from cranberrywick.cli.domain import domain
from cranberrywick.cli.endpoint import endpoint
from cranberrywick.configuration.operator_api import OperatorApi
from cranberrywick.controllers.configuration import ConfigurationController
from cranberrywick.errors import CranberrywickError
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn
from cranberrywick.standin.server import StandIn, json_answer, start

GOLDEN = Path(__file__).parent / "golden" / "config_session.txt"
KEY = "operator-key"
ENDPOINTS = [
    {
        "endpoint_id": "engine-1",
        "kind": "drafting",
        "address": "127.0.0.1:9001",
        "failure_domain": "tallinn-a",
        "region": "tallinn",
        "phase": "warm",
        "models": ["drafter"],
        "running": 2,
        "waiting": 0,
    }
]


class OperatorFront(StandIn):
    """Serves the operator interface over HTTP as a daemon does."""

    def __init__(self, controller):
        super().__init__()
        self.versions = {"entry-2": lambda: controller.current.version}
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self.api = OperatorApi(
            controller,
            [digest],
            lambda: {
                "entry-1": controller.current.version,
                **{name: version() for name, version in self.versions.items()},
            },
            lambda: ENDPOINTS,
            lambda: {"tallinn-b", "tallinn-c"},
        )

    def handle(self, request):
        try:
            operator = self.api.authorise(request.headers.get("authorization"))
        except CranberrywickError as error:
            return json_answer(error.status, {"error": error.body("r")})
        status, answer = self.api.handle(
            request.method, request.path, request.query, request.body, operator
        )
        return json_answer(status, answer)


@pytest.fixture
def standin():
    standin = KeyValueStandIn()
    yield standin
    standin.faults.close()
    standin.stopping()


@pytest.fixture
def front(standin):
    controller = ConfigurationController(InProcessKeyValueStore(standin), seed=1)
    controller.start()
    assert controller.wait_for_version(0, 30.0)
    front = OperatorFront(controller)
    front.server = start(front)
    yield front
    front.server.stop()
    controller.stop()


@pytest.fixture
def run_command(front):
    def run_command(group, *arguments, key=KEY):
        environment = {
            "CRANBERRYWICK_DAEMONS": front.server.url,
            "CRANBERRYWICK_OPERATOR_KEY": key,
        }
        return CliRunner().invoke(group, arguments, env=environment)

    return run_command


def test_a_session_of_an_operator(run_command, front, tmp_path, monkeypatch):
    """An operator applies a version, takes a domain out and back, and is refused once.

    The refused change is based on a version that has been replaced.
    """
    monkeypatch.chdir(tmp_path)
    Path("fleet.json").write_text(json.dumps(document()))
    broken = document(models={"drafter": {"context_tokens": 0}})
    Path("broken.json").write_text(json.dumps(broken))
    transcript = []

    def run(group, *arguments):
        result = run_command(group, *arguments)
        line = " ".join(["$ cranberrywick", group.name, *arguments])
        transcript.append(f"{line}\n{result.output}exit {result.exit_code}\n")
        return result.output

    run(config, "check", "broken.json")
    run(config, "check", "fleet.json")
    run(config, "apply", "fleet.json")
    Path("mine.json").write_text(run(config, "show"))
    run(domain, "out", "tallinn-b")
    run(domain, "out", "tallinn-b")
    run(domain, "list")
    run(config, "apply", "mine.json")
    run(domain, "back", "tallinn-b", "--json")
    run(config, "history")
    run(config, "show", "--version", "99")
    run(endpoint, "list")
    front.versions["entry-2"] = lambda: 1
    run(domain, "out", "tallinn-c", "--wait", "0")
    _compare("\n".join(transcript))


def _compare(transcript):
    found = re.sub(r"\b[0-9a-f]{16}\b", "CHANGE_ID_16HEX", transcript)
    found = re.sub(
        r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\+00:00", "UTC_TIME_OF_CHANGE_25_CHR", found
    )
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN.write_text(found)
    assert found == GOLDEN.read_text()


def test_a_wrong_operator_key_is_refused(run_command):
    result = run_command(config, "show", key="wrong")
    assert result.exit_code == 1
    assert "unauthorised" in result.output


def test_a_platform_outage_has_its_own_exit_code(run_command, standin, tmp_path):
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(document()))
    standin.faults.set("outage")
    result = run_command(config, "apply", str(path))
    assert result.exit_code == 4
    assert "platform_unavailable" in result.output


def test_an_apply_whose_answer_is_lost_is_settled_at_another_daemon(
    run_command, front, tmp_path
):
    """The daemon accepts the change and dies before it answers the operator.

    The command sends the same change id to the next daemon, which finds the change
    accepted. Sent as a new change it would be refused, since its base version has
    been replaced.
    """
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(document()))
    front.faults.set("drop_next_answer", count=1)
    result = run_command(
        config,
        "apply",
        str(path),
        "--daemon",
        front.server.url,
        "--daemon",
        front.server.url,
    )
    assert result.exit_code == 0, result.output
    assert "version 1: in force on 2 of 2 daemons" in result.output


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "config/none", b"", 404),
        ("PUT", "config", b"", 404),
        ("POST", "config", b"{", 400),
        ("POST", "config", b"[]", 400),
        ("POST", "config", b"[" * 100_000, 400),
        ("POST", "config", b"x" * 2_000_000, 413),
        ("POST", "config", b'{"document": {}, "base_version": "1"}', 400),
        ("POST", "config", b'{"document": {}, "change_id": ""}', 400),
        ("POST", "domains/tallinn-a", b'{"out": 1}', 400),
        ("POST", "domains/a%20b", b'{"out": true}', 400),
        ("GET", "config?version=x", b"", 400),
    ],
)
def test_an_invalid_request_gets_a_typed_error(front, method, path, body, status):
    name, _, version = path.partition("?version=")
    query = {"version": version} if version else {}
    found, answer = front.api.handle(method, f"/operator/v1/{name}", query, body)
    assert (found, answer["error"]["executed"]) == (status, "no")
