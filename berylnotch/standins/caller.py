"""HTTP client that sends the requests of a caller to a router."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from typing import Any

from attrs import field, frozen

#: Time-out of each socket operation, in seconds.
_SOCKET_TIMEOUT_S = 60.0


@frozen
class Answer:
    """Complete response; the names in ``headers`` are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def run(self) -> str:
        """Execution outcome from the router: ``ran``, ``not-run`` or ``unknown``."""
        return self.headers.get("x-berylnotch-run", "")

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def events(self) -> list[str]:
        """Return the data of the stream's events, including the end marker."""
        blocks = self.body.decode().split("\n\n")
        lines = (line for block in blocks for line in block.split("\n"))
        return [line[6:] for line in lines if line.startswith("data: ")]


@frozen
class CallerClient:
    """Opens a connection to a router for each request.

    Parameters
    ----------
    address : str
        ``IP:port`` of a router.
    key : str
        Key of the caller; if empty, requests carry no key.
    """

    address: str
    key: str = field(default="", repr=False)

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and read the complete response."""
        response = self.open(method, path, body, headers)
        response_body = response.read()
        header_fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, header_fields, response_body)

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> http.client.HTTPResponse:
        """Send a request and return the response after its header section."""
        connection = http.client.HTTPConnection(self.address, timeout=_SOCKET_TIMEOUT_S)
        header_fields = {"Content-Type": "application/json"}
        if self.key:
            header_fields["Authorization"] = f"Bearer {self.key}"
        connection.request(
            method, path, body or None, header_fields | dict(headers or {})
        )
        return connection.getresponse()

    def post(
        self, path: str, content: Any, headers: Mapping[str, str] | None = None
    ) -> Answer:
        """Send a POST request with a JSON body."""
        return self.send("POST", path, json.dumps(content).encode(), headers)

    def chat(
        self, model: str, prompt: str, max_tokens: int = 16, stream: bool = True
    ) -> Answer:
        """Send a chat request to a language service."""
        return self.post(
            "/v1/chat/completions", chat(model, prompt, max_tokens, stream)
        )


def chat(model: str, prompt: str, max_tokens: int, stream: bool) -> dict[str, Any]:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {
        "model": model,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": messages,
    }
