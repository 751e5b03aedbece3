"""One run of the operators' tool: its client, its output and its change id."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, TextIO

import attrs

from berylnotch.cmd.config import OperatorSettings
from berylnotch.cmd.exits import of_status
from berylnotch.control.commands import Result, Status
from berylnotch.control.protocol import ProposeRequest
from berylnotch.errors import TransportError
from berylnotch.transport.codec import encode
from berylnotch.transport.errors import RefusedError
from berylnotch.transport.identity import OPERATOR_PREFIX

#: Random bytes of a change id.
CHANGE_ID_BYTES = 12


class Calls(Protocol):
    """What the tool needs of `berylnotch.transport.client.Client`."""

    def start(self) -> None:
        """Start the client."""

    def close(self) -> None:
        """End the client."""

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        """Ask the leader."""

    def call_at(self, address: str, message: object, timeout_s: float = 5.0) -> Any:
        """Ask one process."""


#: Makes a client from the controllers' addresses, an identity, its key and a
#: time limit in seconds.
MakeClient = Callable[[tuple[str, ...], str, bytes, float], Calls]


class UnconfirmedError(TransportError):
    """The answer to a change was lost, so that it may have taken effect."""


class Session:
    """State of one run.

    Parameters
    ----------
    read_settings : callable
        Reads the settings; called only by commands that need them.
    make_client : callable
        Makes the client.
    out : file
        Where results are written.
    is_json : bool
        Whether results are written as JSON.
    change_id : str, default=""
        Change id to resend; a random one if empty.
    """

    def __init__(
        self,
        read_settings: Callable[[], OperatorSettings],
        make_client: MakeClient,
        out: TextIO,
        is_json: bool,
        change_id: str = "",
    ) -> None:
        self._read_settings = read_settings
        self._make_client = make_client
        self._out = out
        self._is_json = is_json
        self._change_id = change_id or secrets.token_hex(CHANGE_ID_BYTES)
        self._settings: OperatorSettings | None = None
        self._client: Calls | None = None

    @property
    def settings(self) -> OperatorSettings:
        """Settings, read when they are first needed."""
        if self._settings is None:
            self._settings = self._read_settings()
        return self._settings

    @property
    def operator(self) -> str:
        """Name of the operator."""
        return self.settings.name

    @property
    def is_json(self) -> bool:
        """Whether results are written as JSON."""
        return self._is_json

    @property
    def change_id(self) -> str:
        """Change id of this run's command."""
        return self._change_id

    @property
    def client(self) -> Calls:
        """Client, started when it is first needed."""
        if self._client is None:
            settings = self.settings
            addresses = tuple(item.address for item in settings.controllers)
            identity = OPERATOR_PREFIX + settings.name
            timeout_s = settings.timeout_s
            client = self._make_client(addresses, identity, settings.key, timeout_s)
            client.start()
            self._client = client
        return self._client

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        """Ask the leader."""
        return self.client.call(message, timeout_s)

    def propose(self, command: object) -> Result:
        """Ask the leader to commit a command.

        Raises
        ------
        UnconfirmedError
            If no answer came, so that the command may have taken effect.
        """
        return self.change(ProposeRequest(encode(command))).result

    def change(self, message: object, timeout_s: float | None = None) -> Any:
        """Ask the leader for a change that holds this run's change id.

        Raises
        ------
        UnconfirmedError
            If no answer came, so that the change may have taken effect.
        """
        try:
            return self.call(message, timeout_s)
        except RefusedError:
            raise
        except TransportError as error:
            hint = (
                f"{error}; the change may have taken effect. Repeat the same command "
                f"with --change-id {self._change_id} to learn it; it counts once"
            )
            raise UnconfirmedError(hint) from error

    def finish(self, result: Result, done: str) -> int:
        """Write the result of a change and return the exit code."""
        if self._is_json:
            self.write_json({**plain(result), "change_id": self._change_id})
        elif result.status is Status.OK:
            detail = f" ({result.message})" if result.message else ""
            self.write(f"{done}{detail}")
        else:
            self.write(f"{result.status.value}: {result.message}")
        return of_status(result.status)

    def write(self, text: str) -> None:
        """Write one line or several."""
        print(text, file=self._out)

    def write_json(self, value: object) -> None:
        """Write a value as JSON, with sorted names."""
        print(json.dumps(plain(value), indent=2, sort_keys=True), file=self._out)

    def close(self) -> None:
        """End the client."""
        if self._client is not None:
            self._client.close()
            self._client = None


def plain(value: Any) -> Any:
    """Turn messages into what JSON can hold; bytes become hexadecimal."""
    if attrs.has(type(value)):
        fields = attrs.fields(type(value))
        return {field.name: plain(getattr(value, field.name)) for field in fields}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {name: plain(item) for name, item in value.items()}
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value
