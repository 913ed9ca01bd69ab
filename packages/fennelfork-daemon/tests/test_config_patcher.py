"""Patches on their way to a platform that loses replies."""

import random
from typing import Any

import attrs
import pytest
from daemon_builders_config import (
    CUT,
    Scripted,
    ScriptedPlatform,
    scripted_key,
    scripted_platform,
    shown_document,
    swapped,
)

from fennelfork import Verdict, blackboard, system_clock
from fennelfork.config import PatchRequest, StoredDocument
from fennelfork.membership import Member, MemberStatus
from fennelfork_daemon.config._activator import config_holder
from fennelfork_daemon.config._patcher import ConfigPatcher

_REQUEST = PatchRequest(
    base=1,
    patch_id='mine',
    author='ana',
    patch={'tenants': {'salvare': {'weight': 3}}},
)
_BASE = shown_document(StoredDocument(raw='{"version":1}', revision=5))
_RECORD = '"version":2,"author":"ana","at_ms":1,"paths":[]'
_MINE = f'{{"version":2,"patches":[{{"id":"mine",{_RECORD}}}]}}'
_OTHERS = f'{{"version":2,"patches":[{{"id":"other",{_RECORD}}}]}}'
_SHED = Scripted(body={}, status=429)


def _patcher(
    platform: ScriptedPlatform,
    fleet_version: int = 0,
) -> ConfigPatcher:
    board = blackboard(
        Member(
            name='vm',
            incarnation=1,
            state=MemberStatus.ALIVE,
            region='r',
            data_centre='dc',
            caller='',
            operator='',
            peer='',
        ),
    )
    return ConfigPatcher(
        board=board,
        holder=config_holder(board, system_clock()),
        key=scripted_key(platform),
        clock=system_clock(),
        civil=system_clock(),
        jitter=random.Random(1),
        ask_fleet=lambda: fleet_version,
    )


def _shown(raw: str) -> Scripted:
    return shown_document(StoredDocument(raw=raw, revision=9))


class TestAccepted:
    """Patches that came into force."""

    @pytest.mark.parametrize(
        'script',
        [
            (_BASE, swapped(succeeded=True)),
            (CUT, _SHED, _BASE, swapped(succeeded=True)),
            (_BASE, CUT, _shown(_MINE)),
            (_BASE, CUT, CUT, _BASE, swapped(succeeded=True)),
            (_BASE, CUT, _BASE, swapped(succeeded=False), _shown(_MINE)),
        ],
    )
    def test_settles_by_reading_back(self, script: tuple[Any, ...]) -> None:
        """Whatever reply is lost, the patch is found or sent again."""
        with scripted_platform(*script) as platform:
            accepted = _patcher(platform).patch(_REQUEST).unwrap()
        assert accepted.record.version == 2
        assert not platform.script


class TestRefused:
    """Patches that did not come into force, as far as is known."""

    @pytest.mark.parametrize(
        ('script', 'verdict'),
        [
            ((), Verdict.NOT_RUN),
            ((_BASE, _SHED), Verdict.NOT_RUN),
            ((_BASE, CUT), Verdict.MAY_HAVE_RUN),
            ((_BASE, CUT, _shown(_OTHERS)), Verdict.NOT_RUN),
            ((_BASE, swapped(succeeded=False), CUT), Verdict.NOT_RUN),
        ],
    )
    def test_verdict_is_what_is_certain(
        self,
        script: tuple[Any, ...],
        verdict: Verdict,
    ) -> None:
        """A platform gone after a lost write leaves the matter open."""
        with scripted_platform(*script) as platform:
            refused = _patcher(platform).patch(_REQUEST).failure()
        assert refused.failure.verdict is verdict

    def test_emptied_platform_gets_no_second_first_version(self) -> None:
        """A daemon without a document asks the others before version 1."""
        first = attrs.evolve(_REQUEST, base=0)
        absent = Scripted(body={'header': {}})
        with scripted_platform(absent, swapped(succeeded=True)) as platform:
            refused = _patcher(platform, 50).patch(first).failure()
        assert refused.failure.verdict is Verdict.NOT_RUN
        assert 'version 50 was already accepted' in refused.failure.detail
        assert len(platform.paths) == 1
