"""A valid configuration document, of which tests replace parts."""

import copy

KEY_DIGEST = "a" * 64

_DOCUMENT = {
    "organisations": {"kask": {"key_sha256": [KEY_DIGEST]}},
    "classes": {
        "summary": {
            "first_token_seconds": 1.0,
            "completion_seconds": 30.0,
            "between_tokens_seconds": 0.1,
            "attainment": 0.95,
        }
    },
    "models": {
        "drafter": {
            "context_tokens": 1_000_000,
            "class": "summary",
            "versions": ["2", "1"],
            "adapters": ["grants"],
        }
    },
    "services": {
        "booking": {
            "class": "summary",
            "calls": [
                {"method": "POST", "path": "/slots/{id}", "idempotent": False},
                {"method": "GET", "path": "/slots/{id}", "idempotent": True},
            ],
        }
    },
    "endpoint_kinds": {
        "drafting": {
            "type": "engine",
            "models": ["drafter"],
            "checks_fencing": True,
            "slots": 8,
            "cold_slots": 1,
            "prefill_tokens_per_second": 20_000,
            "decode_tokens_per_second": 50,
            "cache_tokens": 600_000,
        },
        "booking": {"type": "service", "service": "booking", "slots": 4},
    },
    "failure_domains_out": [],
}


def document(**sections: object) -> dict:
    """Return a valid document with some sections replaced."""
    return {**copy.deepcopy(_DOCUMENT), **sections}


def replaced(path: str, value: object) -> dict:
    """Return the document with the value at a dotted path replaced."""
    changed = document()
    *parents, last = path.split(".")
    target = changed
    for name in parents:
        target = target[name]
    target[last] = value
    return changed
