"""Settings of the processes of a fleet, read from INI."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from pathlib import Path

from attrs import field, frozen

from berylnotch.errors import ConfigurationError
from berylnotch.util.address import Address, parse_address

#: Calls a second that the list of targets answers if nothing else is set: that of the
#: users' smallest deployment.
DEFAULT_LIST_RATE = 40.0


@frozen
class FleetBounds:
    """Bounds that the operators set for the whole fleet; times in seconds.

    Parameters
    ----------
    address_ttl_s : float
        Longest time for which an address answer counts.
    stop_s : float
        Time between SIGTERM and the end of a process.
    order_lease_s : float
        Pause between orders of two controllers to one engine.
    retry_ratio : float
        Requests sent again, in parts of those sent first.
    retry_window_s : float
        Window in which they are counted.
    retry_slack : float
        Requests sent again that are allowed beside that, over all routers.
    quota_window_s : float
        Window in which an organisation's use is counted.
    quota_overshoot : float
        Part by which its use may exceed rate and burst.
    quota_slack : float
        Tokens that its use may exceed them by, beside that.
    weights_s : float
        Time after new weights were named in which requests may begin on older ones.
    """

    address_ttl_s: float = 5.0
    stop_s: float = 8.0
    order_lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    weights_s: float = 15.0


@frozen
class FleetSettings:
    """What a process of a fleet is told.

    Parameters
    ----------
    name : str
        Name of the process.
    ip : str
        Address of its VM.
    failure_domain : str
        Where the VM runs.
    listen : Address
        Where callers connect, or the operators and engines at a controller.
    ready : Address or None
        Where a router answers whether it is ready.
    directory : Address or None
        Where a router tells callers which router to use.
    internal_port : int
        Port of the links between processes.
    metrics : Address
        Where metrics are served.
    seeds : tuple of Address
        Controllers to ask first, by their ``listen`` addresses.
    founds_group : bool
        Whether the whole fleet starts for the first time, with empty disks.
    data : Path or None
        Data folder of a controller.
    target_list : Address or None
        Where the platform lists the targets.
    target_list_period_s : float
        Pause between two readings of the list.
    target_list_rate : float
        Calls a second that the list answers for the whole fleet.
    bounds : FleetBounds
        Bounds of the fleet.
    forwarded : Address or None, default=None
        Where links are accepted, if others reach this process by way of a forwarder
        at `internal`.
    """

    name: str
    ip: str
    failure_domain: str
    listen: Address
    ready: Address | None
    directory: Address | None
    internal_port: int
    metrics: Address
    seeds: tuple[Address, ...]
    founds_group: bool
    data: Path | None
    target_list: Address | None
    target_list_period_s: float = 1.0
    target_list_rate: float = DEFAULT_LIST_RATE
    bounds: FleetBounds = field(factory=FleetBounds)
    forwarded: Address | None = None

    @property
    def internal(self) -> Address:
        """Where other processes open links to this one."""
        return Address(self.ip, self.internal_port)

    @property
    def links_listen(self) -> Address:
        """Where links of other processes are accepted."""
        return self.forwarded or self.internal

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Addresses of the seeds' links; all controllers use the same port."""
        return tuple(str(Address(seed.host, self.internal_port)) for seed in self.seeds)


def read_fleet_settings(path: str | Path) -> FleetSettings:
    """Read the settings file of a process.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or a setting is missing or wrong.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise ConfigurationError(str(error), str(path)) from error
    try:
        return _settings(parser)
    except (ValueError, configparser.Error) as error:
        raise ConfigurationError(str(error), str(path)) from error
    except ConfigurationError as error:
        raise ConfigurationError(error.message, str(path)) from error


class SeedSource:
    """Seeds of the settings file, which may change while the process runs.

    Parameters
    ----------
    path : str or Path
        Settings file.
    settings : FleetSettings
        Settings as they were read at the start.
    on_change : callable
        Gets new seeds, as text.
    on_error : callable
        Gets the error of a file that cannot be read; the seeds then stay.
    """

    def __init__(
        self,
        path: str | Path,
        settings: FleetSettings,
        on_change: Callable[[str], None] = lambda seeds: None,
        on_error: Callable[[ConfigurationError], None] = lambda error: None,
    ) -> None:
        self._path = path
        self._seeds = settings.seed_links
        self._on_change = on_change
        self._on_error = on_error

    def __call__(self) -> tuple[str, ...]:
        """Return the addresses of the seeds' links, as the file has them now."""
        try:
            seeds = read_fleet_settings(self._path).seed_links
        except ConfigurationError as error:
            self._on_error(error)
            return self._seeds
        if seeds and seeds != self._seeds:
            self._seeds = seeds
            self._on_change(",".join(seeds))
        return self._seeds


def _settings(parser: configparser.ConfigParser) -> FleetSettings:
    if not parser.has_section("process"):
        raise ConfigurationError("section [process] is missing")
    process = parser["process"]
    first_port = _required(process, "internal-ports").split(",")[0]
    internal_port, metrics_port = int(first_port), int(first_port) + 1
    ip = _required(process, "ip")
    data = process.get("data", "")
    founds_group = process.getboolean("founds-group")
    seeds = process.get("seeds")
    if founds_group is None or seeds is None:
        missing = "seeds" if seeds is None else "founds-group"
        raise ConfigurationError(f"setting {missing} is missing")
    return FleetSettings(
        name=_required(process, "name"),
        ip=ip,
        failure_domain=_required(process, "failure-domain"),
        listen=parse_address(_required(process, "listen")),
        ready=_optional(process.get("ready", "")),
        directory=_optional(process.get("directory", "")),
        internal_port=internal_port,
        metrics=Address(ip, metrics_port),
        seeds=tuple(parse_address(seed) for seed in seeds.split(",") if seed),
        founds_group=founds_group,
        data=Path(data) if data else None,
        target_list=_optional(process.get("target-list", "")),
        target_list_period_s=process.getfloat("target-list-period-s", 1.0),
        target_list_rate=_rate(process.get("target-list-rate", "")),
        forwarded=_optional(process.get("links-listen", "")),
        bounds=_bounds(parser["bounds"] if parser.has_section("bounds") else {}),
    )


def _bounds(values: configparser.SectionProxy | dict[str, str]) -> FleetBounds:
    names = {
        "address-ttl-s": "address_ttl_s",
        "stop-s": "stop_s",
        "order-lease-s": "order_lease_s",
        "retry-ratio": "retry_ratio",
        "retry-window-s": "retry_window_s",
        "retry-slack": "retry_slack",
        "quota-window-s": "quota_window_s",
        "quota-overshoot": "quota_overshoot",
        "quota-slack": "quota_slack",
        "weights-s": "weights_s",
    }
    read = {names[name]: float(values[name]) for name in names if values.get(name)}
    # Milliseconds are taken too, for settings that a platform renders in them.
    for name, field_name in (
        ("order-lease-ms", "order_lease_s"),
        ("weights-ms", "weights_s"),
    ):
        if values.get(name):
            read[field_name] = float(values[name]) / 1000
    return FleetBounds(**read)


def _rate(text: str) -> float:
    """Return calls a second; none or 0 means that the platform states no rate."""
    rate = float(text or 0)
    if rate < 0:
        raise ConfigurationError(f"target-list-rate is {rate:g}, which is below 0")
    return rate or DEFAULT_LIST_RATE


def _required(section: configparser.SectionProxy, name: str) -> str:
    value = section.get(name)
    if not value:
        raise ConfigurationError(f"setting {name} is missing")
    return value


def _optional(text: str) -> Address | None:
    return parse_address(text) if text else None
