"""Settings of a controller process."""

from __future__ import annotations

from pathlib import Path

from attrs import Factory, field, frozen

from berylnotch.consensus.messages import Member
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.fleet import values
from berylnotch.quota.settings import QuotaSettings
from berylnotch.settings.base import (
    ControllerAddress,
    ProcessSetting,
    listen_address,
    optional_address,
    path,
    read_credential,
    read_file,
    read_secret,
)

#: Settings allowed in a controller's file.
TABLE = (
    ProcessSetting(
        "controller", "name", values.name, "a name", "how operators see this controller"
    ),
    ProcessSetting(
        "controller",
        "failure-domain",
        values.name,
        "a name",
        "where this controller runs, as shown by status",
    ),
    ProcessSetting(
        "controller",
        "listen",
        listen_address,
        "IP:port",
        "address for routers, controllers and operators",
    ),
    ProcessSetting(
        "controller",
        "advertise",
        optional_address,
        "IP:port, or nothing",
        "address that other processes are told, where it is not that of listen",
        "",
    ),
    ProcessSetting(
        "controller",
        "data-folder",
        path,
        "a folder on a disk that lasts",
        "where the log and snapshots are kept",
    ),
    ProcessSetting(
        "controller",
        "secret-file",
        path,
        "a file with at least 16 bytes",
        "which processes and operators may connect",
    ),
    ProcessSetting(
        "controller",
        "platform",
        optional_address,
        "IP:port, or nothing",
        "where the platform's list of live and leaving VMs is read",
        "",
    ),
    ProcessSetting(
        "controller",
        "target-credential-file",
        str,
        "a file, or nothing",
        "credential that targets ask from the system",
        "",
    ),
    ProcessSetting(
        "controller",
        "freshness-lease",
        values.duration(0.5, 30.0),
        "0.5 s to 30 s",
        "how long a key counts as valid without news from the leader",
        "2 s",
    ),
    ProcessSetting(
        "controller",
        "claim-retention",
        values.duration(60.0, 3600.0 * 24),
        "1 min to 1440 min",
        "how long a repeat of a non-idempotent request gets the stored answer",
        "1440 min",
    ),
)


@frozen
class ControllerSettings:
    """Settings of one controller process.

    Parameters
    ----------
    name : str
        Name of the controller.
    failure_domain : str
        Failure domain of its VM.
    listen : str
        ``IP:port`` to listen on.
    data_folder : Path
        Folder for the replicated log and snapshots.
    secret : bytes
        Cluster secret.
    freshness_lease_s : float
        Duration of the freshness lease, in seconds: how long a router accepts keys
        without a message from the leader.
    claim_retention_s : float
        How long closed claims (stored outcomes of non-idempotent requests) are kept, in
        seconds.
    advertise : str
        ``IP:port`` announced to other processes; if empty, ``listen`` is announced.
    platform : str
        ``IP:port`` of the platform's list of VMs; empty for none.
    target_credential : str
        Credential sent to targets; empty for none.
    controllers : tuple of ControllerAddress
        Names and addresses of the controllers.
    consensus : ConsensusSettings
        Settings of the replicated log.
    quota : QuotaSettings
        Settings of quota grants.
    """

    name: str
    failure_domain: str
    listen: str
    data_folder: Path
    secret: bytes = field(repr=False)
    freshness_lease_s: float = 2.0
    claim_retention_s: float = 86400.0
    advertise: str = ""
    platform: str = ""
    target_credential: str = field(default="", repr=False)
    controllers: tuple[ControllerAddress, ...] = ()
    consensus: ConsensusSettings = Factory(ConsensusSettings)
    quota: QuotaSettings = Factory(QuotaSettings)

    def as_member(self, replica: str, address: str) -> Member:
        """Return this controller's entry in the group's list of members."""
        return Member(self.name, replica, address, self.failure_domain)


def read_controller(file: str) -> ControllerSettings:
    """Read a controller's settings file.

    Raises
    ------
    ConfigurationError
        If the file, the secret or the credential cannot be read or is invalid.
    """
    content = read_file(file, TABLE)
    settings = content.values
    return ControllerSettings(
        name=settings["name"],
        failure_domain=settings["failure_domain"],
        listen=settings["listen"],
        data_folder=settings["data_folder"],
        secret=read_secret(settings["secret_file"]),
        freshness_lease_s=settings["freshness_lease"],
        claim_retention_s=settings["claim_retention"],
        advertise=settings["advertise"],
        platform=settings["platform"],
        target_credential=read_credential(settings["target_credential_file"]),
        controllers=content.controllers,
    )
