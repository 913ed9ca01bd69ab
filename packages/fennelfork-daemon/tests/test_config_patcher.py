"""Tests of patches that are written to a platform that loses responses."""

import random
from typing import Any

import attrs
import pytest
from daemon_builders_config import (
    CLOSE_CONNECTION,
    ScriptedPlatform,
    ScriptedResponse,
    build_config_key,
    read_response,
    scripted_platform,
    write_response,
)

from fennelfork import Verdict, blackboard, system_clock
from fennelfork.config import PatchRequest, StoredDocument
from fennelfork.membership import Member, MemberStatus
from fennelfork_daemon.config._activator import config_activator
from fennelfork_daemon.config._patcher import ConfigPatcher

_REQUEST = PatchRequest(
    base=1,
    patch_id='mine',
    author='ana',
    patch={'tenants': {'salvare': {'weight': 3}}},
)
_BASE_RESPONSE = read_response(StoredDocument(raw='{"version":1}', revision=5))
_RECORD = '"version":2,"author":"ana","at_ms":1,"paths":[]'
_OWN_PATCH = f'{{"version":2,"patches":[{{"id":"mine",{_RECORD}}}]}}'
_OTHER_PATCH = f'{{"version":2,"patches":[{{"id":"other",{_RECORD}}}]}}'
_SHED_RESPONSE = ScriptedResponse(body={}, status=429)


def _patcher(
    platform: ScriptedPlatform,
    fleet_version: int = 0,
) -> ConfigPatcher:
    local_blackboard = blackboard(
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
        blackboard=local_blackboard,
        activator=config_activator(local_blackboard, system_clock()),
        key=build_config_key(platform),
        clock=system_clock(),
        wall_clock=system_clock(),
        jitter=random.Random(1),
        query_fleet_version=lambda: fleet_version,
    )


def _stored_response(raw: str) -> ScriptedResponse:
    return read_response(StoredDocument(raw=raw, revision=9))


class TestAcceptedPatches:
    """Patches that the platform stored."""

    @pytest.mark.parametrize(
        'script',
        [
            (_BASE_RESPONSE, write_response(succeeded=True)),
            (
                CLOSE_CONNECTION,
                _SHED_RESPONSE,
                _BASE_RESPONSE,
                write_response(succeeded=True),
            ),
            (_BASE_RESPONSE, CLOSE_CONNECTION, _stored_response(_OWN_PATCH)),
            (
                _BASE_RESPONSE,
                CLOSE_CONNECTION,
                CLOSE_CONNECTION,
                _BASE_RESPONSE,
                write_response(succeeded=True),
            ),
            (
                _BASE_RESPONSE,
                CLOSE_CONNECTION,
                _BASE_RESPONSE,
                write_response(succeeded=False),
                _stored_response(_OWN_PATCH),
            ),
        ],
    )
    def test_lost_response_is_resolved_by_read(
        self, script: tuple[Any, ...]
    ) -> None:
        """After a lost response the patcher reads the document and retries."""
        with scripted_platform(*script) as platform:
            accepted = _patcher(platform).patch(_REQUEST).unwrap()
        assert accepted.record.version == 2
        assert not platform.script


class TestRefusedPatches:
    """Patches that failed or whose outcome is unknown."""

    @pytest.mark.parametrize(
        ('script', 'verdict'),
        [
            ((), Verdict.NOT_RUN),
            ((_BASE_RESPONSE, _SHED_RESPONSE), Verdict.NOT_RUN),
            ((_BASE_RESPONSE, CLOSE_CONNECTION), Verdict.MAY_HAVE_RUN),
            (
                (
                    _BASE_RESPONSE,
                    CLOSE_CONNECTION,
                    _stored_response(_OTHER_PATCH),
                ),
                Verdict.NOT_RUN,
            ),
            (
                (
                    _BASE_RESPONSE,
                    write_response(succeeded=False),
                    CLOSE_CONNECTION,
                ),
                Verdict.NOT_RUN,
            ),
        ],
    )
    def test_refusal_has_correct_verdict(
        self,
        script: tuple[Any, ...],
        verdict: Verdict,
    ) -> None:
        """Guards against `NOT_RUN` if the outcome of a write is unknown."""
        with scripted_platform(*script) as platform:
            refused = _patcher(platform).patch(_REQUEST).failure()
        assert refused.failure.verdict is verdict

    def test_empty_platform_gets_no_second_initial_version(self) -> None:
        """Guards against a second version 1 after the platform lost its data."""
        first = attrs.evolve(_REQUEST, base=0)
        absent = ScriptedResponse(body={'header': {}})
        with scripted_platform(
            absent, write_response(succeeded=True)
        ) as platform:
            refused = _patcher(platform, 50).patch(first).failure()
        assert refused.failure.verdict is Verdict.NOT_RUN
        assert 'version 50 was already accepted' in refused.failure.detail
        assert len(platform.paths) == 1
