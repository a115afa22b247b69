"""Checks of the operators' configuration and of the daemon's settings.

Guards against invalid input that is accepted or crashes the check, and against secrets
in its messages.
"""

import json
import string

import pytest
from configuration_documents import KEY_DIGEST, document, replaced
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.configuration.document import EMPTY, check, check_text
from cranberrywick.configuration.settings import check_settings, load_settings
from cranberrywick.errors import InvalidConfiguration, InvalidSettings
from cranberrywick.model import ClassTargets

SETTINGS = {
    "daemon_id": "entry-1",
    "failure_domain": "tallinn-a",
    "region": "tallinn",
    "listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
    "key_value": ["http://127.0.0.1:1"],
    "vm_list": "http://127.0.0.1:2",
    "weight_store": "http://127.0.0.1:3",
    "peer_secret": "correct horse battery",
    "operator_keys": ["b" * 64],
}


def test_a_document_is_parsed_by_name():
    configuration = check(document(failure_domains_out=["tallinn-b"]))
    assert configuration.organisation_by_key_digest == {KEY_DIGEST: "kask"}
    assert configuration.targets_by_class == {
        "summary": ClassTargets(1.0, 30.0, 0.1, 0.95)
    }
    assert configuration.models_by_name["drafter"].versions == ("2", "1")
    booking = configuration.services_by_name["booking"]
    assert not booking.call_for("POST", "/slots/7").idempotent
    assert booking.call_for("POST", "/slots/") is None
    assert booking.call_for("PUT", "/slots/7") is None
    assert configuration.endpoint_kinds_by_name["drafting"].checks_fencing
    assert configuration.domains_out == {"tallinn-b"}
    assert check({}) == EMPTY


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"weights": 1}, "$: ['weights'] won't do; expected only the names classes"),
        ([], "$: [] won't do; expected a JSON object"),
        (
            replaced("classes.summary.attainment", 2),
            "$.classes.summary.attainment: 2 won't do; expected a share above 0",
        ),
        (
            replaced("classes.summary", {"attainment": 0.5}),
            "expected also the names first_token_seconds, completion_seconds",
        ),
        (
            replaced("classes.summary.first_token_seconds", 31),
            "$.classes.summary.first_token_seconds: 31 won't do; expected at most",
        ),
        (
            replaced("classes.summary.first_token_seconds", float("nan")),
            "nan won't do; expected a finite number",
        ),
        (
            replaced("models.drafter.class", "review"),
            "$.models.drafter.class: 'review' won't do; expected one of summary",
        ),
        (
            replaced("models.drafter.versions", ["1\n"]),
            "$.models.drafter.versions[0]: '1\\n' won't do; expected a name",
        ),
        (
            replaced("endpoint_kinds.drafting.models", ["other"]),
            "$.endpoint_kinds.drafting.models[0]: 'other' won't do",
        ),
        (
            replaced("endpoint_kinds.drafting.models", []),
            "expected the models an engine can load",
        ),
        (
            replaced("endpoint_kinds.drafting.cold_slots", 9),
            "cold_slots: 9 won't do; expected at most slots, 8",
        ),
        (
            replaced("endpoint_kinds.booking.service", "billing"),
            "$.endpoint_kinds.booking.service: 'billing' won't do",
        ),
        (
            replaced(
                "services.booking.calls",
                [
                    {"method": "GET", "path": "/", "idempotent": i}
                    for i in (True, False)
                ],
            ),
            "$.services.booking.calls[1]: 'GET /' won't do; expected each call",
        ),
        (
            replaced("organisations.aigaion", {"key_sha256": [KEY_DIGEST]}),
            "$.organisations.aigaion.key_sha256[0]: (secret value) won't do",
        ),
    ],
)
def test_a_violation_names_path_value_and_what_is_expected(changed, expected):
    with pytest.raises(InvalidConfiguration) as caught:
        check(changed)
    assert expected in caught.value.message


def test_a_key_pasted_for_its_digest_is_not_shown():
    """An operator pastes a caller's key where its digest belongs.

    The document is refused. The message reaches a terminal and the log, so it must
    not contain the key.
    """
    with pytest.raises(InvalidConfiguration) as caught:
        check(replaced("organisations.kask.key_sha256", ["sk-very-secret"]))
    assert "sk-very-secret" not in caught.value.message
    assert "64 lower-case hex digits" in caught.value.message


@pytest.mark.parametrize("text", ["{", "[" * 100_000, b"\xff\xfe", "9" * 2_000_000])
def test_invalid_text_raises_a_typed_error(text):
    with pytest.raises(InvalidConfiguration):
        check_text(text)


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(string.printable, max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(section=st.sampled_from(sorted(document())), value=_json_values)
def test_any_json_is_accepted_or_refused_with_a_typed_error(section, value):
    try:
        check(document(**{section: value}))
    except InvalidConfiguration as error:
        assert error.message.startswith("$")


def test_settings_load_with_defaults_and_hide_secrets(tmp_path):
    path = tmp_path / "daemon.json"
    path.write_text(json.dumps(SETTINGS))
    settings = load_settings(path)
    assert settings.failure_domain == "tallinn-a"
    assert settings.key_value == ("http://127.0.0.1:1",)
    assert settings.seed == 0
    assert "horse" not in repr(settings)


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"listen": "localhost"}, "$.listen: 'localhost' won't do; expected an IPv4"),
        ({"key_value": []}, "$.key_value: [] won't do; expected a list of one or more"),
        ({"peer_secret": "short"}, "$.peer_secret: (secret value) won't do"),
        ({"weight": 3}, "$: ['weight'] won't do"),
        ({"threads": 0}, "$.threads: 0 won't do; expected a whole number"),
    ],
)
def test_settings_that_break_a_rule(changed, expected):
    with pytest.raises(InvalidSettings) as caught:
        check_settings({**SETTINGS, **changed})
    assert expected in caught.value.message


def test_settings_that_cannot_be_read(tmp_path):
    with pytest.raises(InvalidSettings, match="can't be read"):
        load_settings(tmp_path / "none.json")
    path = tmp_path / "broken.json"
    path.write_text("{")
    with pytest.raises(InvalidSettings, match="is not JSON"):
        load_settings(path)


def test_a_kind_without_rates_gets_the_default_rates():
    """Guards against calls of a plain service that fail with an internal error.

    A plain service declares no rates. When the missing rates were read as zero, the
    scheduler divided by them; they get the defaults of `Endpoint` instead.
    """
    document = {
        "classes": {
            "booking": {
                "first_token_seconds": 1.0,
                "completion_seconds": 10.0,
                "between_tokens_seconds": 0.1,
                "attainment": 0.95,
            }
        },
        "services": {"booking": {"class": "booking", "calls": []}},
        "endpoint_kinds": {
            "notices": {"type": "service", "service": "booking", "slots": 4}
        },
    }

    kind = check(document).endpoint_kinds_by_name["notices"]

    assert kind.prefill_tokens_per_second > 0
    assert kind.decode_tokens_per_second > 0
