"""HTTP/1.1 client for tests: one connection, one call at a time."""

from __future__ import annotations

import asyncio
import dataclasses

import h11

from sesamevale import sockets


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """Calls one address and keeps the connection open between calls.

    Attributes:
      refused: Whether the last call could not connect.
    """

    def __init__(self, host: str, port: int, timeout_s: float = 30.0):
        self._host = host
        self._port = port
        self._timeout_s = timeout_s
        self._stream: sockets.ByteStream | None = None
        self._http = h11.Connection(h11.CLIENT)
        self.refused = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info: object):
        self.close()

    def close(self) -> None:
        if self._stream is not None:
            self._stream.abort()
        self._stream = None
        self._http = h11.Connection(h11.CLIENT)

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer | None:
        """Returns the answer; None if no complete one arrived in time."""
        self.refused = False
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._call(method, path, headers or {}, body)
        except (TimeoutError, h11.ProtocolError):
            self.close()
            return None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _call(self, method, path, headers, body) -> Answer | None:
        if self._stream is None or self._stream.closed:
            self.close()
            self._stream = await sockets.connect(self._host, self._port, 2.0)
            if self._stream is None:
                self.refused = True
                return None
        fields = {"host": f"{self._host}:{self._port}"} | headers
        if body or method in ("POST", "PUT"):
            fields["content-length"] = str(len(body))
        request = h11.Request(
            method=method, target=path, headers=list(fields.items())
        )
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        self._stream.write(data + self._http.send(h11.EndOfMessage()))
        answer = await self._read()
        reusable = self._http.our_state is h11.DONE
        if answer is None or not reusable:
            self.close()
        else:
            self._http.start_next_cycle()
        return answer

    async def _read(self) -> Answer | None:
        head = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.read()
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {
                    name.decode(): value.decode()
                    for name, value in head.headers
                }
                return Answer(head.status_code, headers, bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                return None
