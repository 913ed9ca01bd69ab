"""Quota of each workspace: decides whether a request of it may run."""

from collections.abc import Mapping
from typing import Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork._clock import Clock
from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.membership import Member
from fennelfork.workspaces._free_allowance import FreeAllowance
from fennelfork.workspaces._owners import Owners
from fennelfork.workspaces._permit_holder import HeldPermit, PermitHolder
from fennelfork.workspaces._permit_owner import PermitOwner
from fennelfork.workspaces._permits import PermitAsk, PermitGrant, PermitNeed
from fennelfork.workspaces._quota_policy import ASK_TIMEOUT_MS
from fennelfork.workspaces._workspace import Workspace

# Time without questions to an owner that does not answer.
_UNANSWERED_MS: Final = 1000.0
# Part of the time left for a request that it may wait for a permit.
_MAX_WAIT_RATIO: Final = 0.25


@attrs.frozen(kw_only=True)
class Unlimited:
    """The request needs no permit, because its workspace has no limit."""


@attrs.frozen(kw_only=True)
class Granted:
    """Permit of the owner for a request that waited; not to be returned."""


@attrs.frozen(kw_only=True)
class FreeRun:
    """Use of the free allowance of this daemon at a time."""

    workspace: str
    used_ms: float


@attrs.frozen(kw_only=True)
class MustAsk:
    """The owner decides.

    Attributes:
        owner: daemon to ask.
        ask: message to the owner.
        timeout_ms: time within which an answer counts.
    """

    owner: Member
    ask: PermitAsk
    timeout_ms: float


Admission = Unlimited | Granted | FreeRun | HeldPermit


@attrs.frozen(kw_only=True)
class Report:
    """Report of held permits to one owner.

    Attributes:
        owner: daemon to which the report goes.
        ask: message to the owner.
        sent_ms: time from which the validity of permits counts.
    """

    owner: Member
    ask: PermitAsk
    sent_ms: float


@attrs.define(kw_only=True)
class Quota:
    """Decides on the requests of limited workspaces, without I/O.

    Attributes:
        owner: permits of the workspaces that this daemon owns.
    """

    owner: PermitOwner
    _local: Member
    _clock: Clock
    _owners: Owners
    _free: FreeAllowance
    _holder: PermitHolder
    _limited: dict[str, Workspace] = attrs.field(factory=dict)
    _number: int = 0
    _pending: set[str] = attrs.field(factory=set)

    @property
    def is_active(self) -> bool:
        """Whether any workspace is limited."""
        return bool(self._limited)

    def apply(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply the workspaces of a configuration."""
        limited = {
            name: workspace
            for name, workspace in workspaces.items()
            if workspace.is_limited
        }
        if limited == self._limited:
            return
        changed = [
            name
            for name, workspace in limited.items()
            if self._limited.get(name) != workspace
        ]
        self._holder.discard(changed)
        self._holder.forget(self._limited.keys() - limited.keys())
        self._limited = limited
        self.owner.apply(limited)

    def admit(
        self, workspace: Workspace | None, left_ms: float
    ) -> Result[Admission | MustAsk, Failure]:
        """Decide on a request as far as possible without a message.

        Args:
            workspace: workspace of the request, or None.
            left_ms: time that is left for the request.
        """
        if workspace is None or workspace.name not in self._limited:
            return Success(Unlimited())
        limited = self._limited[workspace.name]
        self._holder.record_request(limited.name)
        used_ms = self._free.try_use(limited)
        if used_ms is not None:
            return Success(FreeRun(workspace=limited.name, used_ms=used_ms))
        held = self._holder.try_use(limited.name)
        if held is not None:
            return Success(held)
        denied_ms = self._holder.denied_ms(limited.name)
        if denied_ms > 0:
            return Failed(_over_quota(limited.name, denied_ms))
        return self._ask_owner(limited.name, left_ms)

    def conclude(
        self, name: str, grants: tuple[PermitGrant, ...] | None
    ) -> Result[Admission, Failure]:
        """Decide on a request after the owner was asked.

        Args:
            name: name of the workspace.
            grants: answer of the owner, or None if there was none in time.
        """
        for grant in grants or ():
            if grant.workspace == name and grant.granted:
                return Success(Granted())
            if grant.workspace == name:
                wait_ms = self._holder.deny(name, grant.retry_ms)
                return Failed(_over_quota(name, wait_ms))
        wait_ms = self._holder.deny(name, _UNANSWERED_MS)
        return Failed(_owner_unknown(name, wait_ms))

    def give_back(self, admission: Admission) -> None:
        """Return the admission of a request that did not run."""
        if isinstance(admission, FreeRun):
            self._free.give_back(admission.workspace, admission.used_ms)
        elif isinstance(admission, HeldPermit):
            self._holder.give_back(admission)

    def due_reports(self) -> tuple[Report, ...]:
        """Return the reports that are due, at most one to each owner.

        Each report names all workspaces of the owner, so that there is one
        message for all of them. No other report goes to an owner before
        `record_reply` is called.
        """
        self.owner.check()
        self._free.discard_old()
        due = {self._owner_name(name) for name in self._holder.due()}
        due -= {None, *self._pending}
        by_owner: dict[str, list[str]] = {}
        for name in self._holder.names if due else ():
            owner = self._owner_name(name)
            if owner in due and owner is not None:
                by_owner.setdefault(owner, []).append(name)
        return tuple(map(self._build_report, by_owner.values()))

    def record_reply(
        self, report: Report, grants: tuple[PermitGrant, ...] | None
    ) -> None:
        """Record the reply to a report, or None if there was none in time."""
        self._pending.discard(report.owner.name)
        self._holder.record_reply(
            report.owner.name, report.sent_ms, report.ask.needs, grants or ()
        )

    def answer(self, ask: PermitAsk) -> tuple[PermitGrant, ...]:
        """Answer a message of a registered daemon; none for other senders."""
        if not self._owners.is_registered(ask.holder, ask.incarnation):
            return ()
        return self.owner.answer(ask)

    def _ask_owner(
        self, name: str, left_ms: float
    ) -> Result[Admission | MustAsk, Failure]:
        owner = self._owners.owner_of(name)
        if owner is None:
            return self.conclude(name, None)
        need = PermitNeed(workspace=name, needed=1)
        ask = self._message(0, (need,))
        if owner.name == self._local.name:
            return self.conclude(name, self.owner.answer(ask))
        timeout_ms = min(ASK_TIMEOUT_MS, left_ms * _MAX_WAIT_RATIO)
        return Success(MustAsk(owner=owner, ask=ask, timeout_ms=timeout_ms))

    def _build_report(self, names: list[str]) -> Report:
        owner = self._owners.owner_of(names[0]) or self._local
        self._pending.add(owner.name)
        self._number += 1
        needs = self._holder.report(owner.name, names)
        return Report(
            owner=owner,
            ask=self._message(self._number, needs),
            sent_ms=self._clock.now_ms(),
        )

    def _owner_name(self, workspace: str) -> str | None:
        owner = self._owners.owner_of(workspace)
        if owner is None or owner.name == self._local.name:
            return None
        return owner.name

    def _message(self, number: int, needs: tuple[PermitNeed, ...]) -> PermitAsk:
        return PermitAsk(
            holder=self._local.name,
            incarnation=self._local.incarnation,
            number=number,
            needs=needs,
        )


def _over_quota(name: str, retry_ms: float) -> Failure:
    return not_run(
        FailureCode.QUOTA,
        f'workspace {name!r} has used up its quota',
        retry_after_ms=max(1, round(retry_ms)),
    )


def _owner_unknown(name: str, retry_ms: float) -> Failure:
    return not_run(
        FailureCode.QUOTA,
        f'the daemon that counts the requests of workspace {name!r} does not '
        'answer',
        retry_after_ms=max(1, round(retry_ms)),
    )
