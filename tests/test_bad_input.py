"""Bad input to a real daemon: each gets a typed answer, and the daemon serves on.

Guards against input that ends a daemon or gets an answer from which a caller can't tell
whether the call ran.
"""

import json
import socket

import pytest
import urllib3
from fleet import CALLER_KEY, Process, get, running_fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywick.front import status_line

COMPLETIONS_PATH = "/v1/chat/completions"
AUTHORISED = {"Authorization": f"Bearer {CALLER_KEY}"}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["role", "content", "text", "type", "x"]), inner, max_size=4
        )
    ),
    max_leaves=12,
)
completions = st.fixed_dictionaries(
    {},
    optional={
        "model": st.sampled_from(["drafter", "drafter:", ":", "drafter:review"])
        | json_values,
        "messages": json_values
        | st.just([{"role": "user", "content": "What is due?"}]),
        "max_tokens": st.sampled_from([1, 0, -1, 10**30, True, "3", 2.5]),
        "stream": st.booleans() | json_values,
    },
)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    with running_fleet(folder, daemons=1, engines=1) as running:
        yield running


def post(fleet, path, body, headers=AUTHORISED):
    url = f"http://{fleet.daemons[0].address}{path}"
    return urllib3.request(
        "POST", url, body=body, headers=headers, retries=False, timeout=60.0
    )


def check_typed(answer):
    """Check that an answer is a success, or an error that says whether it ran."""
    assert answer.status != 500, answer.data
    if answer.status != 200:
        error = json.loads(answer.data)["error"]
        assert set(error) == {"type", "message", "executed", "request_id"}
        assert error["executed"] in ("no", "unknown")


@settings(max_examples=150)
@given(document=completions | json_values)
def test_any_json_gets_a_typed_answer(fleet, document):
    check_typed(post(fleet, COMPLETIONS_PATH, json.dumps(document)))


@settings(max_examples=50)
@given(body=st.binary(max_size=200))
def test_any_bytes_get_a_typed_answer(fleet, body):
    check_typed(post(fleet, COMPLETIONS_PATH, body))


@settings(max_examples=50)
@given(
    path=st.text("/ab%.?=&;#~\u00e9 ", max_size=30), key=st.text("a~ \t", max_size=9)
)
def test_any_path_and_key_get_a_typed_answer(fleet, path, key):
    quoted = urllib3.util.parse_url("http://x/" + path).request_uri
    headers = {**AUTHORISED, "Idempotency-Key": key}
    check_typed(post(fleet, "/v1/services/booking" + quoted, b"{}", headers))


@pytest.mark.parametrize("code", [200, 302, 403, 418, 499, 599, 799])
def test_every_status_of_a_service_has_a_status_line(code):
    """Guards against a bare 500 for a call that ran and was answered.

    A service had answered 403, and the daemon had status lines for its own codes only.
    """
    number, phrase = status_line(code).split(" ", 1)
    assert int(number) == code
    assert phrase


def test_input_that_is_not_http_leaves_the_daemon_serving(fleet):
    """A client sends bytes that are no request, or half of one, and disconnects."""
    host, port = fleet.daemons[0].address.split(":")
    for sent in (b"\x00\xff" * 500, b"GET / HTTP/9.9\r\n\r\n", b"POST / HT"):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(sent)
    document = {"model": "drafter", "messages": [{"role": "user", "content": "x"}]}
    answer = post(fleet, COMPLETIONS_PATH, json.dumps(document))
    assert answer.status == 200


def test_a_body_beyond_the_limit_is_refused(fleet):
    """The HTTP server refuses it before a request reaches the chain of filters."""
    answer = post(fleet, COMPLETIONS_PATH, b" " * (17 << 20))
    assert answer.status == 413


def test_a_port_that_is_taken_ends_the_daemon_with_its_exit_code(fleet, tmp_path):
    """An operator starts a second daemon with the first one's settings."""
    settings_file = fleet.daemons[0].log_file.with_suffix(".json")
    fields = json.loads(settings_file.read_text())
    fields["listen"] = fleet.daemons[0].address
    changed = tmp_path / "taken.json"
    changed.write_text(json.dumps(fields))
    daemon = Process("taken", ["serve", "--settings", str(changed)], tmp_path)
    try:
        assert daemon.wait() == 3
        assert "can't listen" in daemon.log_file.read_text()
    finally:
        daemon.stop()


def test_malformed_answers_of_the_platform_and_an_engine(fleet):
    """The platform and the engine answer with what is not JSON.

    A booking is refused as not run and a completion fails with a typed error. When
    their answers are valid again the daemon serves without a restart.
    """
    fleet.set_fault(fleet.key_value, "nonsense")
    fleet.set_fault(fleet.vm_list, "nonsense")
    fleet.set_fault(fleet.engines[0], "nonsense", path=COMPLETIONS_PATH, count=1)
    document = {"model": "drafter", "messages": [{"role": "user", "content": "x"}]}
    check_typed(post(fleet, COMPLETIONS_PATH, json.dumps(document)))
    headers = {**AUTHORISED, "Idempotency-Key": "k"}
    refused = post(fleet, "/v1/services/booking/slots", b"{}", headers)
    assert json.loads(refused.data)["error"]["executed"] == "no"
    for standin in (fleet.key_value, fleet.vm_list, fleet.engines[0]):
        fleet.clear_faults(standin)
    assert post(fleet, COMPLETIONS_PATH, json.dumps(document)).status == 200
    assert get(fleet.daemons[0], "/readyz")["ready"]
