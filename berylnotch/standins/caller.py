"""A caller of the fleet: asks for an address, then sends requests there."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from typing import Any

from attrs import field, frozen

#: Seconds for one answer.
_TIMEOUT_S = 60.0


@frozen
class Answer:
    """A whole answer; ``headers`` go by name in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def run(self) -> str:
        """Whether a target ran the request: ran, not-run or unknown."""
        return self.headers.get("x-berylnotch-run", "")

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    def events(self) -> list[str]:
        """Return the data of a stream's events, the end marker included."""
        blocks = self.body.decode().split("\n\n")
        lines = (line for block in blocks for line in block.split("\n"))
        return [line[6:] for line in lines if line.startswith("data: ")]


@frozen
class CallerClient:
    """Connects to one entry VM for each request.

    Parameters
    ----------
    address : str
        ``IP:port`` of a router.
    key : str
        The caller's key; empty for none.
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
        """Send a request and read the whole answer."""
        response = self.open(method, path, body, headers)
        content = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, content)

    def open(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> http.client.HTTPResponse:
        """Send a request and return the answer once its head has come."""
        connection = http.client.HTTPConnection(self.address, timeout=_TIMEOUT_S)
        fields = {"Content-Type": "application/json"}
        if self.key:
            fields["Authorization"] = f"Bearer {self.key}"
        connection.request(method, path, body or None, fields | dict(headers or {}))
        return connection.getresponse()

    def post(
        self, path: str, content: Any, headers: Mapping[str, str] | None = None
    ) -> Answer:
        """Send JSON by POST."""
        return self.send("POST", path, json.dumps(content).encode(), headers)

    def chat(
        self, model: str, prompt: str, max_tokens: int = 16, stream: bool = True
    ) -> Answer:
        """Ask a language service."""
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
