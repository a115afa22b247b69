"""Orders to an endpoint that reserve and release its memory."""

import json

__all__ = [
    "MISDIRECTED_STATUS",
    "ORDER_TARGET",
    "encode_release",
    "encode_reserve",
    "helper_entry",
    "order_headers",
]

ORDER_TARGET = b"/order"
# The answer of another endpoint, which has taken over the address.
MISDIRECTED_STATUS = 421


def order_headers(address: str, endpoint_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of an order, which only this endpoint carries out."""
    return [
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (b"Cranberrywick-Expect-Instance", endpoint_id.encode()),
    ]


def encode_reserve(reservation_id: str, tokens: int, hold_seconds: float) -> bytes:
    """Return the body that reserves memory for ``tokens``, or renews a reservation.

    The endpoint releases it after ``hold_seconds`` unless it is renewed.
    """
    return json.dumps(
        {
            "operation": "reserve",
            "id": reservation_id,
            "tokens": tokens,
            "holdMs": int(hold_seconds * 1000),
        }
    ).encode()


def encode_release(reservation_id: str) -> bytes:
    """Return the body that ends a reservation."""
    return json.dumps({"operation": "release", "id": reservation_id}).encode()


def helper_entry(address: str, reservation_id: str | None) -> str:
    """Return a helper's entry in the header for the endpoint that answers."""
    return f"{address}/{reservation_id}" if reservation_id else address
