"""Settings of a router process."""

from __future__ import annotations

from attrs import Factory, field, frozen

from berylnotch.admission.retry import RetrySettings
from berylnotch.admission.settings import AdmissionSettings
from berylnotch.fleet import values
from berylnotch.membership.settings import MembershipSettings
from berylnotch.net.response_memory import DEFAULT_MEMORY_MB
from berylnotch.placement.settings import PlacementSettings
from berylnotch.quota.settings import QuotaSettings
from berylnotch.settings.base import (
    ControllerAddress,
    ProcessSetting,
    listen_address,
    path,
    read_credential,
    read_file,
    read_secret,
)
from berylnotch.streams.inputs import ExchangeSettings

#: Settings allowed in a router's file.
TABLE = (
    ProcessSetting(
        "router",
        "name",
        values.name,
        "the name of a [vm ...] in the operators' text",
        "which entry VM this router is",
    ),
    ProcessSetting(
        "router",
        "failure-domain",
        values.name,
        "a name",
        "which targets count as near",
    ),
    ProcessSetting("router", "http", listen_address, "IP:port", "address for callers"),
    ProcessSetting(
        "router",
        "listen",
        listen_address,
        "IP:port",
        "address for other routers and operators",
    ),
    ProcessSetting(
        "router",
        "metrics",
        listen_address,
        "IP:port",
        "address of the metrics page; keep it from callers",
        "127.0.0.1:0",
    ),
    ProcessSetting(
        "router",
        "secret-file",
        path,
        "a file with at least 16 bytes",
        "which processes and operators may connect",
    ),
    ProcessSetting(
        "router",
        "freshness-lease",
        values.duration(0.5, 30.0),
        "0.5 s to 30 s",
        "how long a key counts as valid without news from the leader",
        "2 s",
    ),
    ProcessSetting(
        "router",
        "max-body",
        values.quantity("KiB", 1, 65536),
        "KiB, 1 to 65536",
        "longest request body",
        "8192 KiB",
    ),
    ProcessSetting(
        "router",
        "memory",
        values.quantity("MB", 64, 65536),
        "MB, 64 to 65536",
        "what is held: 0.4 of it for answers, 0.3 for callers' input",
        f"{DEFAULT_MEMORY_MB} MB",
    ),
    ProcessSetting(
        "router",
        "target-credential-file",
        str,
        "a file, or nothing",
        "credential that targets ask from the router",
        "",
    ),
    ProcessSetting(
        "router",
        "stop-limit",
        values.duration(1.0, 3600.0),
        "1 s to 60 min",
        "how long a planned stop waits for running requests",
        "10 min",
    ),
)


@frozen
class RouterSettings:
    """Settings of one router process.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    failure_domain : str
        Failure domain of the VM.
    http : str
        ``IP:port`` for callers.
    listen : str
        ``IP:port`` for other routers and operators.
    metrics : str
        ``IP:port`` of the metrics page.
    secret : bytes
        Cluster secret.
    controllers, routers : tuple of ControllerAddress
        Processes from which the router fetches the control state, in order of
        preference.
    freshness_lease_s : float
        Duration of the freshness lease, in seconds: how long the router accepts keys
        without a message from the leader.
    max_body_bytes : int
        Largest request body, in bytes.
    memory_mb : int
        Memory, in megabytes, that the process may use.
    target_credential : str
        Credential sent to targets; empty for none.
    stop_limit_s : float
        Longest time, in seconds, that a planned stop waits for running requests.
    """

    name: str
    failure_domain: str
    http: str
    listen: str
    secret: bytes = field(repr=False)
    metrics: str = "127.0.0.1:0"
    controllers: tuple[ControllerAddress, ...] = ()
    routers: tuple[ControllerAddress, ...] = ()
    freshness_lease_s: float = 2.0
    max_body_bytes: int = 8 * 1024 * 1024
    memory_mb: int = DEFAULT_MEMORY_MB
    target_credential: str = field(default="", repr=False)
    stop_limit_s: float = 600.0
    admission: AdmissionSettings = Factory(AdmissionSettings)
    membership: MembershipSettings = Factory(MembershipSettings)
    placement: PlacementSettings = Factory(PlacementSettings)
    quota: QuotaSettings = Factory(QuotaSettings)
    retry: RetrySettings = Factory(RetrySettings)
    exchange: ExchangeSettings = Factory(ExchangeSettings)


def read_router(file: str) -> RouterSettings:
    """Read a router's settings file.

    Raises
    ------
    ConfigurationError
        If the file, the secret or the credential cannot be read or is invalid.
    """
    content = read_file(file, TABLE)
    settings = content.values
    return RouterSettings(
        name=settings["name"],
        failure_domain=settings["failure_domain"],
        http=settings["http"],
        listen=settings["listen"],
        metrics=settings["metrics"],
        secret=read_secret(settings["secret_file"]),
        controllers=content.controllers,
        routers=content.routers,
        freshness_lease_s=settings["freshness_lease"],
        max_body_bytes=settings["max_body"] * 1024,
        memory_mb=settings["memory"],
        target_credential=read_credential(settings["target_credential_file"]),
        stop_limit_s=settings["stop_limit"],
    )
