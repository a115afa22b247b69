"""Endpoints that close the connection in the middle of an answer, for tests.

A request's header ``X-Cut`` names the form of the answer and how many of its last bytes
are missing.
"""

from endless_endpoints import EndlessEndpoint, Request

__all__ = ["FORMS", "CutEndpoint", "cut_answers"]

BODY = b"an answer that is whole"
EVENT = b"id: 1\ndata: piece 1\n\n"
OK, FULL = "200 OK", "503 Service Unavailable"
NOT_RUN = "Cranberrywick-Not-Executed: 1"
CHUNKED = "Transfer-Encoding: chunked"


def _chunks(data: bytes) -> bytes:
    # Sizes with leading zeros: the first digit alone is the size of the last chunk.
    return b"%04x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


# The status line, further headers and the body of each form.
FORMS = {
    "length": (OK, [f"Content-Length: {len(BODY)}"], BODY),
    "chunks": (OK, [CHUNKED], _chunks(BODY)),
    "unframed": (OK, [], BODY),
    "empty": (OK, ["Content-Length: 0"], b""),
    "stream": (OK, ["Content-Type: text/event-stream", CHUNKED], _chunks(EVENT)),
    "refusal": (FULL, [NOT_RUN, "Content-Length: 2"], b"{}"),
    "unframed refusal": (FULL, [NOT_RUN], b"{}"),
}


def answer(form: str, request_id: str) -> tuple[bytes, bytes]:
    """Return the head and the body of a whole answer."""
    status, headers, body = FORMS[form]
    own = [
        f"HTTP/1.1 {status}",
        f"Cranberrywick-Request-Id: {request_id}",
        "Cranberrywick-Response-Seal: seal.cut",
        f"X-Request-Id: {request_id}",
        *headers,
    ]
    return "\r\n".join([*own, "", ""]).encode(), body


def cut_answers(form: str, request_id: str) -> list[int]:
    """Return how many bytes may be missing of an answer that shows to be cut.

    It is cut within its head, or within a body that states its end. The head of a
    refusal says all that counts.
    """
    head, body = answer(form, request_id)
    is_head_enough = "unframed" in form or "refusal" in form
    least = 1 + len(body) if is_head_enough else 1
    return list(range(least, len(head + body) + 1))


class CutEndpoint(EndlessEndpoint):
    """One endpoint; ``cut`` has the requests that got a part of an answer."""

    def __init__(self) -> None:
        super().__init__("chunked")
        self.cut: list[str] = []

    def first_answer(self, request: Request) -> bytes:
        wanted = request.headers.get("x-cut")
        if wanted is None:
            return b"".join(answer("length", request.request_id))
        form, _, missing = wanted.rpartition(":")
        self.cut.append(request.request_id)
        return b"".join(answer(form, request.request_id))[: -int(missing)]
