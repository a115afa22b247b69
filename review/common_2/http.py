"""Reading of HTTP/1.1 messages from a stream."""

import asyncio


async def read_message(reader):
    """Return the first line, the headers and the body; None at the stream's end.

    Names of headers are in lower case.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return first, headers, await _read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def _read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body
