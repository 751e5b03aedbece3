"""State of one run of the operators' tool: client, output and change id."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, TextIO

import attrs

from berylnotch.cmd.config import OperatorSettings
from berylnotch.cmd.exits import exit_code_of_status
from berylnotch.control.commands import Result, Status
from berylnotch.control.protocol import ProposeRequest
from berylnotch.errors import TransportError
from berylnotch.transport.codec import encode
from berylnotch.transport.errors import RefusedError
from berylnotch.transport.identity import OPERATOR_PREFIX

#: Random bytes of a change id.
CHANGE_ID_BYTES = 12


class ToolClient(Protocol):
    """Methods of `berylnotch.transport.client.Client` that the tool uses."""

    def start(self) -> None:
        """Start the client."""

    def close(self) -> None:
        """Close the client."""

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        """Send a request to the leader and return the reply."""

    def call_at(self, address: str, message: object, timeout_s: float = 5.0) -> Any:
        """Send a request to the process at ``address`` and return the reply."""


#: Creates a client from the controllers' addresses, an identity, its key and a timeout
#: in seconds.
ClientFactory = Callable[[tuple[str, ...], str, bytes, float], ToolClient]


class UnconfirmedError(TransportError):
    """No reply to a change arrived, so that the change may have taken effect."""


class Session:
    """State of one run of the tool.

    Parameters
    ----------
    read_settings : callable
        Reads the settings; called only if the command needs them.
    make_client : callable
        Creates the client.
    out : file
        Text stream to which results are written.
    is_json : bool
        Whether results are written as JSON.
    change_id : str, default=""
        Change id of an earlier run that is repeated; if empty, a random one is used.
    """

    def __init__(
        self,
        read_settings: Callable[[], OperatorSettings],
        make_client: ClientFactory,
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
        self._client: ToolClient | None = None

    @property
    def settings(self) -> OperatorSettings:
        """Settings, read on first use."""
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
    def client(self) -> ToolClient:
        """Client, started on first use."""
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
        """Send a request to the leader and return the reply."""
        return self.client.call(message, timeout_s)

    def propose(self, command: object) -> Result:
        """Ask the leader to commit a command and return the result.

        Raises
        ------
        UnconfirmedError
            If no reply arrived, so that the command may have taken effect.
        """
        return self.request_change(ProposeRequest(encode(command))).result

    def request_change(self, message: object, timeout_s: float | None = None) -> Any:
        """Send the leader a request for a change and return the reply.

        The message must contain this run's change id, so that a repeat with the same id
        takes effect only once.

        Raises
        ------
        UnconfirmedError
            If no reply arrived, so that the change may have taken effect.
        """
        try:
            return self.call(message, timeout_s)
        except RefusedError:
            raise
        except TransportError as error:
            error_text = (
                f"{error}; the change may have taken effect. Repeat the same command "
                f"with --change-id {self._change_id} to learn it; it counts once"
            )
            raise UnconfirmedError(error_text) from error

    def write_result(self, result: Result, success_text: str) -> int:
        """Write the result of a change and return the exit code for it.

        Parameters
        ----------
        result : Result
            Result from the leader.
        success_text : str
            Line that is written if the change succeeded.

        Returns
        -------
        int
            Exit code.
        """
        if self._is_json:
            self.write_json({**to_json_value(result), "change_id": self._change_id})
        elif result.status is Status.OK:
            detail = f" ({result.message})" if result.message else ""
            self.write(f"{success_text}{detail}")
        else:
            self.write(f"{result.status.value}: {result.message}")
        return exit_code_of_status(result.status)

    def write(self, text: str) -> None:
        """Write one or more lines."""
        print(text, file=self._out)

    def write_json(self, value: object) -> None:
        """Write a value as indented JSON with sorted keys."""
        print(
            json.dumps(to_json_value(value), indent=2, sort_keys=True), file=self._out
        )

    def close(self) -> None:
        """Close the client, if it was started."""
        if self._client is not None:
            self._client.close()
            self._client = None


def to_json_value(value: Any) -> Any:
    """Convert messages into types that JSON supports; bytes become hexadecimal."""
    if attrs.has(type(value)):
        fields = attrs.fields(type(value))
        return {
            field.name: to_json_value(getattr(value, field.name)) for field in fields
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {name: to_json_value(item) for name, item in value.items()}
    if isinstance(value, tuple | list):
        return [to_json_value(item) for item in value]
    return value
