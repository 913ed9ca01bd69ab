"""Routes: the services that requests are sent to, and the limits that apply."""

import functools
import math
import random

import attrs

from fennelfork.routes._home_regions import HomeRegions

# Tolerance for the rounding errors of a coverage times a number of services.
_ROUNDING = 1e-9


@attrs.frozen(kw_only=True)
class SingleService:
    """Target that sends every request to one service."""

    service: str


@attrs.frozen(kw_only=True)
class ServiceWeight:
    """Service and its weight within a weighted target."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class WeightedServices:
    """Target that sends each request to one service, chosen by weight."""

    shares: tuple[ServiceWeight, ...]


@attrs.frozen(kw_only=True)
class FanOut:
    """Target that sends every request to all services and merges the records.

    Attributes:
        services: names of the services, one per shard.
        max_records: maximum number of records in the merged answer.
        min_coverage: fraction of the services, from 0 to 1, whose responses a
            successful answer requires.
    """

    services: tuple[str, ...]
    max_records: int
    min_coverage: float


Target = SingleService | WeightedServices | FanOut


@attrs.frozen(kw_only=True)
class Route:
    """Configuration of the requests to one path prefix of one host.

    Attributes:
        name: name of the route.
        host: host of the requests, without a port.
        prefix: prefix of the paths of the requests.
        target: services that the requests are sent to.
        idempotent: whether a request may run more than once.
        timeout_ms: maximum time until the answer to a caller.
        latency_target_ms: time within which an answer is in time.
        max_attempts: maximum number of backend servers of each service that
            may run one request.
        priority: rank among the routes; 0 is the most urgent.
        home_regions: only regions whose backend servers may run the requests,
            None for any region.
        is_public: whether requests need no key of a workspace.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    timeout_ms: float
    latency_target_ms: float
    max_attempts: int
    priority: int = 0
    home_regions: HomeRegions = None
    is_public: bool = False


@functools.singledispatch
def services_of(target: object) -> tuple[str, ...]:
    """Return all services that requests of a target may be sent to.

    Raises:
        TypeError: if the type of the target is unknown.
    """
    raise TypeError(f'not a target of a route: {target!r}')


@services_of.register
def _single_service(target: SingleService) -> tuple[str, ...]:
    return (target.service,)


@services_of.register
def _weighted_services(target: WeightedServices) -> tuple[str, ...]:
    return tuple(share.service for share in target.shares)


@services_of.register
def _fan_out_services(target: FanOut) -> tuple[str, ...]:
    return target.services


def choose_services(target: Target, rng: random.Random) -> tuple[str, ...]:
    """Choose the services that one request is sent to.

    Args:
        target: target of the route.
        rng: random generator for weighted targets.
    """
    services = services_of(target)
    if not isinstance(target, WeightedServices):
        return services
    weights = [share.weight for share in target.shares]
    return tuple(rng.choices(services, weights))


def is_merged(target: Target) -> bool:
    """Whether answers are merged from the responses of several services."""
    return isinstance(target, FanOut)


def min_parts(target: Target) -> int:
    """Return the number of responses that a successful answer requires."""
    if not isinstance(target, FanOut):
        return 1
    min_services = len(target.services) * target.min_coverage
    return max(1, math.ceil(min_services - _ROUNDING))
