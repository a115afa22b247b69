"""Answers that break off, as callers read them that know no chunks.

Guards against a short body that is whole for a caller of HTTP/1.0, which gets neither a
length nor chunks.
"""

import asyncio

import pytest

from cranberrywick.gateway.ingress import Ingress

REQUEST = b"GET / HTTP/1.0\r\nHost: a\r\n\r\n"


async def read(ends):
    """Return what a caller of HTTP/1.0 reads of an answer, with or without its end."""

    async def handle(request, caller):
        await caller.send_head(200, b"", [])
        await caller.send_body(b"a part")
        await asyncio.sleep(0.1)
        if ends:
            caller.end()

    ingress = Ingress(handle)
    await ingress.start("127.0.0.1:0")
    try:
        host, _, port = ingress.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        ingress.close()


def test_an_answer_that_breaks_off_is_reset_for_a_caller_of_http_1_0():
    """Guards against a close that looks like the end of a body without a length."""
    with pytest.raises(ConnectionResetError):
        asyncio.run(read(ends=False))


def test_a_whole_answer_is_not_reset_for_a_caller_of_http_1_0():
    """Guards against whole answers that are lost by a reset."""
    assert asyncio.run(read(ends=True)).endswith(b"\r\n\r\na part")
