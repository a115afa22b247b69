"""Decoding of the headers of endpoints' answers.

Guards against limits that are missed, ended too early or recorded for the wrong
endpoint.
"""

from math import inf

import pytest

from cranberrywick.platform.headers import decode_response

SEALED = {b"cranberrywick-response-seal": b"seal.e1"}


@pytest.mark.parametrize(
    ("value", "rate"),
    [(b"1", 1.0), (b"0.25", 0.25), (b"0", 0.0), (b" 12 ", 12.0)],
)
def test_an_answer_of_any_status_states_a_limit(value, rate):
    """Refusals state it too; they come from the endpoints that most need a limit."""
    for status in (200, 429, 500, 503):
        headers = {b"server-limit": value}
        assert decode_response(status, headers).rate_limit == rate


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e999", b"few"])
def test_an_unreadable_limit_is_ignored(value):
    """Such a value neither sets a limit nor ends the one in force."""
    headers = {b"server-limit": value, **SEALED}
    assert decode_response(200, headers).rate_limit is None


def test_only_the_endpoints_own_answer_ends_a_limit():
    """An unsealed answer without the header does not end a limit."""
    assert decode_response(200, SEALED).rate_limit == inf
    assert decode_response(500, SEALED).rate_limit == inf
    assert decode_response(503, {}).rate_limit is None


def test_a_limit_from_an_endpoint_that_took_over_the_address_is_ignored():
    """Otherwise its limit would be recorded for the endpoint that was there before."""
    assert decode_response(421, {b"server-limit": b"1"}).rate_limit is None
