"""Records in the store that name no usable endpoint or daemon, for tests."""

import json

from gateway_fleet import endpoint_record

DEEP = 100_000
HUGE = 10**400
LONG = "9" * 5000


def _endpoint(**fields: object) -> bytes:
    """Return a record of an endpoint of the plain service, with other fields."""
    return json.dumps(endpoint_record(**fields)).encode()


def _nested(key: str) -> bytes:
    whole = _endpoint(**{key: "deep"}).decode()
    return whole.replace('"deep"', "[" * DEEP + "]" * DEEP).encode()


ADDRESSES = {
    "port above 65535": "127.0.0.1:65536",
    "port far above": "127.0.0.1:99999999",
    "port zero": "127.0.0.1:0",
    "port negative": "127.0.0.1:-1",
    "port signed": "127.0.0.1:+80",
    "port of another script": "127.0.0.1:\u0663\u0664",
    "port superscript": "127.0.0.1:\u00b2",
    "port of 5,000 digits": f"127.0.0.1:{LONG}",
    "no port": "127.0.0.1",
    "name": "runner.example:80",
    "name of the own VM": "localhost:80",
    "empty host": ":80",
    "IPv6": "[::1]:80",
    "number above 255": "127.0.0.256:80",
    "leading zeros": "127.0.0.01:80",
    "no VM": "0.0.0.0:80",
    "all VMs": "255.255.255.255:80",
    "NUL": "127.0.0.1\0:80",
    "new line": "127.0.0.1\n:80",
    "surrogate": "\ud800:80",
    "long label": f"{'a' * 70}.example:80",
    "long": f"{'1' * 100_000}:80",
    "long and an address": f"{' ' * 64}127.0.0.1:80",
    "scope": "[fe80::1%\0]:80",
}
VALUES = {
    "empty": b"",
    "not JSON": b"\x00\x01\x02",
    "not UTF-8": b'{"state": "\xff\xfe"}',
    "UTF-16": _endpoint(state="dancing").decode().encode("utf-16"),
    "list": b"[]",
    "null": b"null",
    "deep": b"[" * DEEP,
    "deep and whole": b"[" * DEEP + b"]" * DEEP,
    **{f"{key} deep": _nested(key) for key in ("service", "address", "slots", "extra")},
    "extra field deep": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "number of 5,000 digits": _endpoint(slots="N").replace(b'"N"', LONG.encode()),
    **{
        f"slots {slots!s:.8}": _endpoint(slots=slots)
        for slots in (HUGE, -3, 0, 1e308, float("nan"), float("inf"), True, "8", None)
    },
    **{
        f"cold {cold!s:.8}": _endpoint(coldRemainingMs=cold)
        for cold in (HUGE, 1e17, float("nan"), float("inf"), [], "soon")
    },
    **{f"born {born!s:.8}": _endpoint(born=born) for born in (HUGE, -1, 1.5, 2**63)},
    **{
        f"{key} {what}": _endpoint(**{key: text})
        for key in ("service", "zone")
        for what, text in (
            ("NUL", "desk\0"),
            ("surrogate", "desk\ud800"),
            ("new line", "desk\r\nX: y"),
            ("long", "d" * 100_000),
            ("number", 7),
        )
    },
    **{
        f"state {state!s:.8}": _endpoint(state=state)
        for state in ("dancing", 1, None, {}, "\ud800")
    },
    **{f"address {name}": _endpoint(address=text) for name, text in ADDRESSES.items()},
}
# Ends of keys under which a record that is sound names no usable endpoint.
IDS = {
    "empty": "",
    "surrogate": "i-\ud800",
    "new line": "i-1\r\nX: y",
    "NUL": "i-\0",
    "blank": " i-1",
}
