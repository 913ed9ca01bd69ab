"""Validation of replies."""

import attrs
import pytest
from core_builders_answers import records, reply_to
from returns.pipeline import is_successful

from fennelfork import FailureCode, Verdict
from fennelfork.gather import ExpectedReply, check_reply, key_range

_EXPECTED = ExpectedReply(
    request_id='r1',
    sub_query='s0@7:10-20',
    snapshot=7,
    span=key_range(10, 20),
)
_WELL_FORMED = reply_to(_EXPECTED, [10, 12, 19])


class TestCheckReply:
    """Valid replies and each kind of invalid reply."""

    @pytest.mark.parametrize('keys', [[], [10], [10, 12, 19]])
    def test_accepts_valid_reply(self, keys: list[int]) -> None:
        """A complete reply is accepted, also without records."""
        assert is_successful(check_reply(_EXPECTED, reply_to(_EXPECTED, keys)))

    @pytest.mark.parametrize(
        'change',
        [{'request_id': 'r2'}, {'sub_query': 's1@7:10-20'}],
    )
    def test_rejects_reply_of_other_sub_query(self, change: dict) -> None:
        """The sub-query may have run if the reply is not its own."""
        failure = check_reply(
            _EXPECTED, attrs.evolve(_WELL_FORMED, **change)
        ).failure()
        assert failure.code is FailureCode.BAD_REPLY
        assert failure.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize(
        'change',
        [
            {'snapshot': 8},
            {'span': key_range(10, 19)},
            {'count': 4},
            {'records': records([10, 12])},
            {'records': records([10, 10, 12])},
            {'records': records([12, 10, 19])},
            {'records': records([9, 12, 19])},
            {'records': records([10, 12, 20])},
        ],
    )
    def test_rejects_inconsistent_reply(self, change: dict) -> None:
        """Wrong snapshot, range or count; duplicate or unsorted records."""
        failure = check_reply(
            _EXPECTED, attrs.evolve(_WELL_FORMED, **change)
        ).failure()
        assert failure.code is FailureCode.BAD_REPLY
        assert failure.verdict is Verdict.RAN
