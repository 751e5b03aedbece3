"""Controller process, which runs the log storage, the core thread and the network."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from loguru import logger

from berylnotch.consensus.replica import Replica
from berylnotch.consensus.storage import LogStorage
from berylnotch.daemon.controller.core import Core
from berylnotch.transport.identity import VM_PREFIX, identity_key
from berylnotch.transport.peers import Listener, Peers
from berylnotch.util.address import parse_address
from berylnotch.util.loop import Loop

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.consensus.state import Recovered
    from berylnotch.settings.controller import ControllerSettings
    from berylnotch.util.address import Address


class Controller:
    """Controller process; it owns the log storage, the core thread and the network.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    on_failure : callable
        Called in another thread after an error that the controller cannot recover from.
    """

    def __init__(
        self, settings: ControllerSettings, on_failure: Callable[[], None]
    ) -> None:
        self._settings = settings
        self._on_failure = on_failure
        self._loop = Loop("network")
        self._listener: Listener | None = None
        self._peers: Peers | None = None
        self._core: Core | None = None

    @property
    def address(self) -> Address:
        """Address at which the controller listens."""
        return self._listener.address

    def start(self) -> None:
        """Recover the state from the data folder and start to serve.

        Raises
        ------
        StorageError
            If the data folder is damaged.
        """
        settings = self._settings
        storage = LogStorage(
            settings.data_folder, settings.name, settings.consensus.keep_entries
        )
        recovered = storage.start()
        self._loop.start()
        identity = VM_PREFIX + settings.name
        source = parse_address(settings.listen).host
        self._peers = Peers(self._loop, identity, self._key_of, source)
        self._listener = Listener(
            self._loop, parse_address(settings.listen), self._key_of, self._submit
        )
        self._core = Core(
            settings,
            storage,
            recovered,
            self._peers,
            self._loop,
            self._make_replica,
            settings.advertise or str(self._listener.address),
            self._on_failure,
        )
        self._core.start()
        self._listener.start()
        logger.info(
            "event=controller_started name={} replica={} address={}",
            settings.name,
            recovered.identity,
            self._listener.address,
        )

    def close(self) -> None:
        """Stop the listener, then the core thread, then the connections to peers."""
        self._listener.close()
        self._core.close()
        self._peers.close()
        self._loop.close()
        logger.info("event=controller_stopped name={}", self._settings.name)

    def _key_of(self, identity: str) -> bytes:
        return identity_key(self._settings.secret, identity)

    def _make_replica(self, recovered: Recovered) -> Replica:
        return Replica(
            self._settings.consensus, recovered, random.Random(), time.monotonic()
        )

    def _submit(self, identity: str, message: object, reply: object) -> None:
        self._core.submit(identity, message, reply)
