"""Describe the workload of a deployment."""

from ipaddress import ip_address
from math import exp, log
from random import Random
from urllib.parse import urlsplit

from attrs import field, frozen

from jasminewheel.errors import SettingsError


@frozen
class Pause:
    """Describe a log-normal distribution of pauses with an upper limit."""

    median_seconds: float = 0.2
    sigma: float = 0.8
    longest_seconds: float = 5

    def draw(self, random: Random) -> float:
        """Return a random pause in seconds."""
        drawn = random.lognormvariate(log(self.median_seconds), self.sigma)
        return min(drawn, self.longest_seconds)


@frozen
class Span:
    """Describe a log-uniform distribution of sizes between two bounds."""

    least: int
    most: int

    def draw(self, random: Random) -> int:
        """Return a random size."""
        ratio = log(self.most / self.least)
        return round(self.least * exp(random.random() * ratio))


@frozen
class ToolUse:
    """Describe a tool call that may follow a turn."""

    target: str
    operation: str
    repeatable: bool = False
    probability: float = 0.3


@frozen
class SubAgents:
    """Describe the child programs that may start after a turn."""

    probability: float = 0
    most: int = 2
    turns: Span = Span(1, 2)


@frozen
class ProgramClass:
    """Describe a class of one caller's programs.

    Programs of a class without a model make plain calls only. All programs
    of a class share instructions of `opening_tokens`.
    """

    name: str
    caller: str
    key: str
    weight: float
    favoured: bool = False
    target: str = ''
    model: str = ''
    turns: Span = Span(1, 4)
    opening_tokens: int = 200
    turn_tokens: Span = Span(20, 120)
    answer_tokens: Span = Span(8, 48)
    pause: Pause = Pause()
    tools: tuple[ToolUse, ...] = ()
    sub_agents: SubAgents = SubAgents()


@frozen
class Workload:
    """Describe a deployment's programs and the entries that serve them.

    `engines` and `services` are the URLs of fakes whose counts are read.
    """

    name: str
    classes: tuple[ProgramClass, ...]
    programs_per_second: float = 4
    burst_factor: float = 3
    burst_share: float = 0.1
    entries: tuple[str, ...] = ()
    engines: tuple[str, ...] = field(default=())
    services: tuple[str, ...] = field(default=())


def check_loopback(urls: tuple[str, ...]) -> None:
    """Raise SettingsError for a URL whose host is no loopback address."""
    for url in urls:
        host = urlsplit(url).hostname or ''
        if not _is_loopback(host):
            raise SettingsError(
                f'{url} is not on the loopback',
                remedy='the load tool drives stand-ins on 127.0.0.1 only',
            )


def _is_loopback(host: str) -> bool:
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return False
