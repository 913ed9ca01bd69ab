"""A route: which requests go to which services, and how."""

import functools
import math
import random

import attrs

# Shares such as 0.89 of 100 parts round up by less than this.
_ROUNDING = 1e-9


@attrs.frozen(kw_only=True)
class Single:
    """Every request goes to one service."""

    service: str


@attrs.frozen(kw_only=True)
class Share:
    """A service and its weight among the services of a split."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Split:
    """Each request goes to one of several services, drawn by weight."""

    shares: tuple[Share, ...]


@attrs.frozen(kw_only=True)
class Gather:
    """Every request goes to all services, whose records are merged.

    Attributes:
        services: one for each shard.
        most_records: how many records the merged answer holds at most.
        least_coverage: share of the services, from 0 to 1, that a success
            has to include.
    """

    services: tuple[str, ...]
    most_records: int
    least_coverage: float


Target = Single | Split | Gather


@attrs.frozen(kw_only=True)
class Route:
    """What operators set for the requests under one prefix of one host.

    Attributes:
        name: of the route.
        host: the host that requests name, without a port.
        prefix: what their path begins with.
        target: the services that answer them.
        idempotent: whether a request may run more than once.
        timeout_ms: the longest that a caller is kept waiting.
        aim_ms: within this, an answer is in time.
        attempts: the most backend servers, of each service, that may run one
            request.
        priority: rank among the routes, 0 is served first.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    timeout_ms: float
    aim_ms: float
    attempts: int
    priority: int = 0


@functools.singledispatch
def services_of(target: object) -> tuple[str, ...]:
    """Give all services that requests of a target may go to.

    Raises:
        TypeError: for a target of another type.
    """
    raise TypeError(f'not a target: {target!r}')


@services_of.register
def _one_service(target: Single) -> tuple[str, ...]:
    return (target.service,)


@services_of.register
def _split_services(target: Split) -> tuple[str, ...]:
    return tuple(share.service for share in target.shares)


@services_of.register
def _all_services(target: Gather) -> tuple[str, ...]:
    return target.services


def draw_services(target: Target, rng: random.Random) -> tuple[str, ...]:
    """Give the services that one request is sent to.

    Args:
        target: of its route.
        rng: draws among the services of a split.
    """
    services = services_of(target)
    if not isinstance(target, Split):
        return services
    weights = [share.weight for share in target.shares]
    return tuple(rng.choices(services, weights))


def is_merged(target: Target) -> bool:
    """Tell whether an answer is merged from the parts of several services."""
    return isinstance(target, Gather)


def least_parts(target: Target) -> int:
    """Tell how many parts a success has to include."""
    if not isinstance(target, Gather):
        return 1
    wanted = len(target.services) * target.least_coverage
    return max(1, math.ceil(wanted - _ROUNDING))
