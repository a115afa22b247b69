"""What the headers of endpoints' answers say."""

from math import inf

import pytest

from cranberrywick.platform.headers import decode_response

SEALED = {b"cranberrywick-response-seal": b"seal.e1"}


@pytest.mark.parametrize(
    ("value", "rate"),
    [(b"1", 1.0), (b"0.25", 0.25), (b"0", 0.0), (b" 12 ", 12.0)],
)
def test_an_answer_of_any_status_names_a_limit(value, rate):
    """Refusals name it too, and come from the endpoints that need it most."""
    for status in (200, 429, 500, 503):
        headers = {b"server-limit": value}
        assert decode_response(status, headers).rate_limit == rate


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e999", b"few"])
def test_a_limit_that_cannot_be_read_says_nothing(value):
    """It neither sets a limit nor ends one that is in force."""
    headers = {b"server-limit": value, **SEALED}
    assert decode_response(200, headers).rate_limit is None


def test_only_the_endpoints_own_answer_ends_a_limit():
    """A bare refusal without the header is no word of a limit's end."""
    assert decode_response(200, SEALED).rate_limit == inf
    assert decode_response(500, SEALED).rate_limit == inf
    assert decode_response(503, {}).rate_limit is None


def test_an_endpoint_that_took_over_the_address_names_its_own_limit():
    """The limit of whoever answers 421 would be kept for the endpoint before it."""
    assert decode_response(421, {b"server-limit": b"1"}).rate_limit is None
