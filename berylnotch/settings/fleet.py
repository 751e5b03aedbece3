"""Settings of a fleet's processes, read from the INI file that the platform renders."""

from __future__ import annotations

import configparser
import math
from collections.abc import Callable
from pathlib import Path

from attrs import field, frozen

from berylnotch.errors import ConfigurationError
from berylnotch.net.response_memory import DEFAULT_MEMORY_MB
from berylnotch.util.address import Address, parse_address

#: Default for the calls per second that the platform allows for the list of targets.
#: It is the rate of the users' smallest deployment.
DEFAULT_LIST_RATE = 40.0

#: Smallest memory in megabytes that a process can work with.
MIN_MEMORY_MB = 64.0

#: Largest accepted number of requests in a slack, which keeps sums of it exact.
MAX_SLACK = 1e15


@frozen
class FleetBounds:
    """Limits that the operators set for the whole fleet; times in seconds.

    Parameters
    ----------
    address_ttl_s : float
        Longest time for which the answer to a router address lookup is valid.
    stop_s : float
        Longest time from SIGTERM to the exit of a process.
    order_lease_s : float
        Minimum time between orders of two different controllers to one engine.
    retry_ratio : float
        Allowed retries as a fraction of first attempts.
    retry_window_s : float
        Window in which retries and first attempts are counted.
    retry_slack : float
        Number of retries allowed in addition to the ratio, over all routers.
    quota_window_s : float
        Window in which an organisation's token use is counted.
    quota_overshoot : float
        Fraction by which an organisation's token use may exceed its rate and burst.
    quota_slack : float
        Number of tokens by which the use may exceed rate and burst in addition to
        `quota_overshoot`.
    weights_s : float
        Time after the announcement of new weights in which requests may still begin on
        older weights.
    exposure_share : float or None
        Share of a service's requests that a bad version may receive during a rollout.
        Without it and without a slack, the deployment has no rollouts.
    exposure_slack : float or None
        Number of requests that a bad version may receive in addition to the share.
    rollback_s : float
        Time from a version's fiftieth bad response after which no router in contact
        may send requests to it.
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
    exposure_share: float | None = None
    exposure_slack: float | None = None
    rollback_s: float = 5.0

    @property
    def has_rollouts(self) -> bool:
        """Whether operators may request rollouts of software versions."""
        return self.exposure_share is not None or self.exposure_slack is not None


@frozen
class FleetSettings:
    """Settings of one process of a fleet.

    Parameters
    ----------
    name : str
        Name of the process.
    ip : str
        Address of its VM.
    failure_domain : str
        Failure domain of the VM.
    listen : Address
        Listening address: of a router for callers, of a controller for operators and
        engines.
    ready : Address or None
        Address at which a router answers readiness checks.
    directory : Address or None
        Address at which a router answers callers that ask which router to use.
    internal_port : int
        Port of the links between processes.
    metrics : Address
        Address at which metrics are served.
    seeds : tuple of Address
        ``listen`` addresses of the controllers to contact first.
    founds_group : bool
        Whether the whole fleet starts for the first time, with empty disks.
    data : Path or None
        Data folder of a controller.
    target_list : Address or None
        Address of the platform's list of targets.
    target_list_period_s : float
        Seconds between two reads of the list.
    target_list_rate : float
        Calls per second that the platform allows the whole fleet for the list.
    bounds : FleetBounds
        Limits of the fleet.
    memory_mb : float
        Memory in megabytes that the process may use.
    max_fds : int
        File descriptors that the process may have open; 0 if nothing is stated.
    forwarded : Address or None, default=None
        Address at which links are accepted, if other processes reach this one through
        a forwarder at `internal`.
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
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = 0
    forwarded: Address | None = None

    @property
    def internal(self) -> Address:
        """Address to which other processes open links."""
        return Address(self.ip, self.internal_port)

    @property
    def links_listen(self) -> Address:
        """Address at which this process accepts links."""
        return self.forwarded or self.internal

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Link addresses of the seeds; all controllers use the same internal port."""
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
        return _build_settings(parser)
    except (ValueError, configparser.Error) as error:
        raise ConfigurationError(str(error), str(path)) from error
    except ConfigurationError as error:
        raise ConfigurationError(error.message, str(path)) from error


class SeedSource:
    """Provides values of a settings file that may change while the process runs.

    Parameters
    ----------
    path : str or Path
        Settings file.
    settings : FleetSettings
        Settings that were read at process start.
    on_change : callable
        Called with the new seeds, as comma-separated text, when they change.
    on_error : callable
        Called with the error if the file cannot be read; the last values then remain in
        use.
    """

    def __init__(
        self,
        path: str | Path,
        settings: FleetSettings,
        on_change: Callable[[str], None] = lambda seeds: None,
        on_error: Callable[[ConfigurationError], None] = lambda error: None,
    ) -> None:
        self._path = path
        self._settings = settings
        self._seeds = settings.seed_links
        self._on_change = on_change
        self._on_error = on_error

    def __call__(self) -> tuple[str, ...]:
        """Read the file again and return the link addresses of its seeds."""
        self._read()
        seeds = self._settings.seed_links
        if seeds and seeds != self._seeds:
            self._seeds = seeds
            self._on_change(",".join(seeds))
        return self._seeds

    def bounds(self) -> FleetBounds:
        """Read the file again and return its limits of the fleet."""
        self._read()
        return self._settings.bounds

    def _read(self) -> None:
        try:
            self._settings = read_fleet_settings(self._path)
        except ConfigurationError as error:
            self._on_error(error)


def _build_settings(parser: configparser.ConfigParser) -> FleetSettings:
    if not parser.has_section("process"):
        raise ConfigurationError("section [process] is missing")
    process = parser["process"]
    first_port = _required_value(process, "internal-ports").split(",")[0]
    internal_port, metrics_port = int(first_port), int(first_port) + 1
    ip = _required_value(process, "ip")
    data = process.get("data", "")
    founds_group = process.getboolean("founds-group")
    seeds = process.get("seeds")
    if founds_group is None or seeds is None:
        missing = "seeds" if seeds is None else "founds-group"
        raise ConfigurationError(f"setting {missing} is missing")
    return FleetSettings(
        name=_required_value(process, "name"),
        ip=ip,
        failure_domain=_required_value(process, "failure-domain"),
        listen=parse_address(_required_value(process, "listen")),
        ready=_optional_address(process.get("ready", "")),
        directory=_optional_address(process.get("directory", "")),
        internal_port=internal_port,
        metrics=Address(ip, metrics_port),
        seeds=tuple(parse_address(seed) for seed in seeds.split(",") if seed),
        founds_group=founds_group,
        data=Path(data) if data else None,
        target_list=_optional_address(process.get("target-list", "")),
        target_list_period_s=process.getfloat("target-list-period-s", 1.0),
        target_list_rate=_parse_list_rate(process.get("target-list-rate", "")),
        memory_mb=_parse_memory(process.get("memory-mb", "")),
        max_fds=int(process.get("max-fds", "") or 0),
        forwarded=_optional_address(process.get("links-listen", "")),
        bounds=_build_bounds(parser["bounds"] if parser.has_section("bounds") else {}),
    )


def _build_bounds(values: configparser.SectionProxy | dict[str, str]) -> FleetBounds:
    fields_by_name = {
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
        "exposure-share": "exposure_share",
        "exposure-slack": "exposure_slack",
    }
    bounds = {
        fields_by_name[name]: float(values[name])
        for name in fields_by_name
        if values.get(name)
    }
    # The platform renders some bounds in milliseconds, so these are accepted as well.
    for name, field_name in (
        ("order-lease-ms", "order_lease_s"),
        ("weights-ms", "weights_s"),
        ("rollback-ms", "rollback_s"),
    ):
        if values.get(name):
            bounds[field_name] = float(values[name]) / 1000
    for name, highest in (("exposure-share", 1.0), ("exposure-slack", MAX_SLACK)):
        value = bounds.get(fields_by_name[name], 0.0)
        if not 0 <= value <= highest:
            raise ConfigurationError(f"{name} is {value:g}, not from 0 to {highest:g}")
    return FleetBounds(**bounds)


def _parse_list_rate(text: str) -> float:
    """Return calls per second; empty or 0 means that the platform states no rate."""
    rate = float(text or 0)
    if rate < 0:
        raise ConfigurationError(f"target-list-rate is {rate:g}, which is below 0")
    return rate or DEFAULT_LIST_RATE


def _parse_memory(text: str) -> float:
    """Return megabytes; empty means that nothing is stated."""
    memory_mb = float(text) if text else DEFAULT_MEMORY_MB
    if not MIN_MEMORY_MB <= memory_mb < math.inf:
        raise ConfigurationError(
            f"memory-mb is {memory_mb:g}, which is not at least {MIN_MEMORY_MB:g}"
        )
    return memory_mb


def _required_value(section: configparser.SectionProxy, name: str) -> str:
    value = section.get(name)
    if not value:
        raise ConfigurationError(f"setting {name} is missing")
    return value


def _optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None
