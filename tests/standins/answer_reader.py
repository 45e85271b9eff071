"""Reading of answers whose length is stated."""

from __future__ import annotations

import asyncio


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Returns the status, header fields and body of the next final answer.

    Names of fields are in lower case.

    Raises:
      asyncio.IncompleteReadError: The connection ended before its end.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    status = int(head[0].split()[1])
    if status < 200:
        return await read_answer(reader)
    fields = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    return status, fields, await reader.readexactly(length)
