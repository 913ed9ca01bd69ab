"""Builds the components of a daemon for non-idempotent requests."""

import random
from typing import Final

import attrs

from fennelfork import Blackboard, Clock
from fennelfork.once import OnceGate, once_gate, ticket_key
from fennelfork_daemon.execute._api import ExecuteApi
from fennelfork_daemon.execute._connection import ExecuteTimeouts
from fennelfork_daemon.execute._observer import ExecuteObserver
from fennelfork_daemon.execute._peer import ExecutePeerHandler
from fennelfork_daemon.execute._runner import ExecuteRunner
from fennelfork_daemon.execute._service import ExecuteService
from fennelfork_daemon.execute._targets import home_target_finder
from fennelfork_daemon.execute._ticket_issuer import TicketIssuer
from fennelfork_daemon.home._client import Home
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.root._view_cache import ViewCache
from fennelfork_daemon.settings._tables import Settings
from fennelfork_daemon.tracing._observer import Observer

_SECRET_BYTES: Final = 32
_INCARNATION_BITS: Final = 62
_MAX_RUNNING: Final = 64
_SETTLE_MS: Final = 10_000


@attrs.frozen(kw_only=True)
class ExecuteComponents:
    """Components that run non-idempotent requests.

    Attributes:
        api: caller API for non-idempotent requests.
        issuer: issuer of the tickets in entry answers.
        peer: peer RPC handler for forwarded requests.
    """

    api: ExecuteApi
    issuer: TicketIssuer
    peer: ExecutePeerHandler


def execute_components(
    blackboard: Blackboard,
    clock: Clock,
    home: Home,
    settings: Settings,
    observer: Observer,
    views: ViewCache,
) -> ExecuteComponents:
    """Build the components that run non-idempotent requests.

    Args:
        blackboard: facts that the components of the daemon share.
        clock: monotonic clock of the daemon.
        home: service of this daemon that schedules the requests of shards.
        settings: settings of the daemon.
        observer: source of the metrics and of the ring of recent answers.
        views: views of shards, which queries keep up to date.
    """
    gate = _new_gate(blackboard.local.name, clock)
    service = ExecuteService(
        gate=gate,
        runner=ExecuteRunner(
            table=gate.table,
            clock=clock,
            target_finder=home_target_finder(blackboard, clock, home, views),
            timeouts=ExecuteTimeouts(
                probe_ms=settings.timeouts.connect_ms,
                settle_ms=_SETTLE_MS,
            ),
            limit=_MAX_RUNNING,
        ),
        blackboard=blackboard,
        peers=PeerClient(),
        clock=clock,
    )
    return ExecuteComponents(
        api=ExecuteApi(
            service=service,
            blackboard=blackboard,
            clock=clock,
            settings=settings,
            observer=ExecuteObserver(
                blackboard=blackboard,
                metrics=observer.metrics,
                ring=observer.ring,
                table=gate.table,
            ),
        ),
        issuer=TicketIssuer(
            gate=gate,
            blackboard=blackboard,
            lifetime_ms=settings.timeouts.entry_ttl_ms,
        ),
        peer=ExecutePeerHandler(service=service, clock=clock),
    )


def _new_gate(name: str, clock: Clock) -> OnceGate:
    """Build a gate with a ticket key that only this daemon process has."""
    rng = random.SystemRandom()
    incarnation = rng.getrandbits(_INCARNATION_BITS)
    key = ticket_key(name, incarnation, rng.randbytes(_SECRET_BYTES))
    return once_gate(key, clock, rng)
