"""Fleet on loopback with controllers, routers and stand-ins as processes."""

from __future__ import annotations

import re
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from berylnotch.consensus.messages import Members
from berylnotch.control.commands import (
    ApplyText,
    GiveKey,
    Result,
    Status,
    WithdrawKey,
)
from berylnotch.control.protocol import (
    BootstrapRequest,
    JoinRequest,
    ProposeRequest,
    StatusRequest,
)
from berylnotch.keys.keyring import GeneratedKey, digest_key, generate_key
from berylnotch.standins.process import Child
from berylnotch.transport.client import Client
from berylnotch.transport.codec import encode
from berylnotch.transport.identity import (
    OPERATOR_PREFIX,
    identity_key,
)

#: Operator name of the fleet's control client.
OPERATOR = "asha"
_DAEMON_MODULE = "berylnotch.cmd.daemon"
#: Time within which a condition has to become true, in seconds.
WAIT_LIMIT_S = 30.0
_POLL_INTERVAL_S = 0.05


class ConditionError(Exception):
    """A condition did not become true in time, or a command was refused."""


def wait_for(condition: Callable[[], object], description: str) -> object:
    """Poll ``condition`` until its result is true, and return the result.

    Raises
    ------
    ConditionError
        If the condition is still false after `WAIT_LIMIT_S`.
    """
    deadline = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(_POLL_INTERVAL_S)
    raise ConditionError(f"waited {WAIT_LIMIT_S:.0f} s without success: {description}")


class LocalFleet:
    """Processes of a fleet whose files are in one folder.

    Parameters
    ----------
    folder : Path
        Folder for settings files, data and logs.

    Attributes
    ----------
    router_settings : str
        Further lines of the section ``[router]`` of routers that are started later.
    """

    def __init__(self, folder: Path) -> None:
        self.router_settings = ""
        self._folder = folder
        self._secret = secrets.token_hex(32).encode()
        self._children: dict[str, Child] = {}
        self._listen_addresses: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._operator_client: Client | None = None
        folder.mkdir(parents=True, exist_ok=True)
        self.secret_file.write_bytes(self._secret)

    @property
    def secret_file(self) -> Path:
        """File with the cluster secret."""
        return self._folder / "secret"

    @property
    def secret(self) -> bytes:
        """Cluster secret."""
        return self._secret

    @property
    def folder(self) -> Path:
        """Folder of the fleet."""
        return self._folder

    @property
    def children(self) -> dict[str, Child]:
        """Processes by name."""
        return self._children

    @property
    def controllers(self) -> dict[str, str]:
        """Addresses of the controllers by name."""
        return {
            name: address
            for name, address in self._listen_addresses.items()
            if name.startswith("c")
        }

    @property
    def client(self) -> Client:
        """Client for the controllers with the identity of the operator `OPERATOR`."""
        if self._operator_client is None:
            identity = OPERATOR_PREFIX + OPERATOR
            key = identity_key(self._secret, identity)
            self._operator_client = Client(
                tuple(self.controllers.values()), identity, key, timeout_s=30.0
            )
            self._operator_client.start()
        return self._operator_client

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a controller."""
        return self._folder / f"{name}-data"

    def start_all(self, starts: Sequence[Callable[[], Child]]) -> list[Child]:
        """Start several processes concurrently and return them in the given order."""
        with ThreadPoolExecutor(len(starts)) as executor:
            futures = [executor.submit(start) for start in starts]
            return [future.result() for future in futures]

    def start_controllers(self, names: tuple[str, ...], domains: tuple[str, ...]):
        """Start controllers and form a group of them."""
        self.start_all(
            [
                lambda name=name, domain=domain: self.start_controller(name, domain)
                for name, domain in zip(names, domains, strict=True)
            ]
        )
        self.bootstrap(names)

    def start_controller(
        self, name: str, domain: str, host: str = "127.0.0.1", advertise: str = ""
    ) -> Child:
        """Start a controller; a restarted controller keeps its address.

        Parameters
        ----------
        name, domain : str
            Name and failure domain of its VM.
        host : str, default="127.0.0.1"
            IP address to listen on.
        advertise : str, default=""
            Address that the controller advertises to other processes; if empty, the
            address that it listens on.
        """
        settings = self._folder / f"{name}.ini"
        listen = self._listen_addresses.get(name, f"{host}:0")
        settings.write_text(
            f"[controller]\nname = {name}\nfailure-domain = {domain}\n"
            f"listen = {listen}\ndata-folder = {self.data_folder(name)}\n"
            f"secret-file = {self.secret_file}\nadvertise = {advertise}\n",
            encoding="utf-8",
        )
        child = self._start_child(
            name, (_DAEMON_MODULE, "controller", "--settings", str(settings))
        )
        self._listen_addresses[name] = child.address
        self._domains[name] = domain
        return child

    def restart(self, name: str) -> Child:
        """Start a controller or router again at its previous address."""
        if name.startswith("c"):
            return self.start_controller(name, self._domains[name])
        return self.start_router(name, self._domains[name])

    def bootstrap(self, names: tuple[str, ...]) -> None:
        """Form a group of new controllers."""
        replies = [
            self.client.call_at(self._listen_addresses[name], JoinRequest())
            for name in names
        ]
        members = Members(tuple(reply.member for reply in replies))
        for name in names:
            self.client.call_at(self._listen_addresses[name], BootstrapRequest(members))

    def start_router(
        self,
        name: str,
        domain: str,
        http: str = "",
        peers: Mapping[str, str] | None = None,
    ) -> Child:
        """Start a router; a restarted router keeps its address for callers.

        Parameters
        ----------
        name, domain : str
            Name and failure domain of its VM.
        http : str, default=""
            Address for callers; a free port if empty.
        peers : mapping, optional
            Addresses of other routers by name.
        """
        settings = self._folder / f"{name}.ini"
        controllers = "".join(
            f"{controller} = {address}\n"
            for controller, address in self.controllers.items()
        )
        routers = "".join(
            f"{router} = {address}\n" for router, address in (peers or {}).items()
        )
        http = http or self._listen_addresses.get(name, "127.0.0.1:0")
        settings.write_text(
            f"[router]\nname = {name}\nfailure-domain = {domain}\nhttp = {http}\n"
            f"listen = 127.0.0.1:0\nsecret-file = {self.secret_file}\n"
            f"{self.router_settings}"
            f"[controllers]\n{controllers}[routers]\n{routers}",
            encoding="utf-8",
        )
        child = self._start_child(
            name, (_DAEMON_MODULE, "router", "--settings", str(settings))
        )
        self._listen_addresses[name] = child.address
        self._domains[name] = domain
        return child

    def peer(self, number: int) -> str:
        """Return the address of router ``entry-NUMBER`` for connections of peers."""
        log = self._children[f"entry-{number}"].log
        return re.search(r"event=router_started .* listen=(\S+)", log)[1]

    def start_engine(self, name: str, *arguments: str) -> Child:
        """Start a stand-in for a model engine."""
        module = "berylnotch.standins.engine"
        return self._start_child(
            name, (module, "--port", "0", "--name", name, *arguments)
        )

    def start_plain(self, name: str, *arguments: str) -> Child:
        """Start a stand-in for a plain service."""
        module = "berylnotch.standins.plain"
        return self._start_child(name, (module, "--port", "0", *arguments))

    def propose(self, command: object) -> Result:
        """Propose an operator's command and return its result."""
        return self.client.call(ProposeRequest(encode(command))).result

    def apply(self, text: str, base_revision: int) -> Result:
        """Apply a configuration text."""
        return self.propose(self.text_change(text, base_revision))

    def text_change(self, text: str, base_revision: int) -> ApplyText:
        """Return the command that applies a configuration text."""
        return ApplyText(secrets.token_hex(8), OPERATOR, base_revision, text)

    def give_key(self, organisation: str) -> GeneratedKey:
        """Create a key for an organisation."""
        key = generate_key()
        change_id = secrets.token_hex(8)
        digest = digest_key(key.key)
        command = GiveKey(change_id, OPERATOR, key.key_id, organisation, digest)
        result = self.propose(command)
        if result.status is not Status.OK:
            raise ConditionError(result.message)
        return key

    def withdraw_key(self, key_id: str) -> Result:
        """Revoke a key."""
        return self.propose(WithdrawKey(secrets.token_hex(8), OPERATOR, key_id))

    def close(self) -> None:
        """Close the client and kill all processes that are still running."""
        if self._operator_client is not None:
            self._operator_client.close()
        for child in self._children.values():
            if child.is_running:
                child.kill()

    def leader(self) -> str:
        """Return the name of the leading controller."""
        reply = self.client.call(StatusRequest())
        return reply.leader.partition("/")[0]

    def _start_child(self, name: str, arguments: tuple[str, ...]) -> Child:
        child = Child(arguments, self._folder / f"{name}.log")
        child.start()
        self._children[name] = child
        return child
