"""The claim arm of the experiment on at most once."""

from collections.abc import Iterator

import pytest

from fennelfork_bench.experiments._once_claim import Claims
from fennelfork_bench.experiments._once_cost import memory_costs
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig


@pytest.fixture
def service() -> Iterator[str]:
    """Give the address of a key-value service."""
    with rig() as own:
        process = own.start_module('key-value', 'fennelfork_bench.kv')
        yield process.await_ready().ready['address']


@pytest.mark.process
class TestClaims:
    """Claims against the key-value stand-in."""

    def test_one_holder(self, service: str) -> None:
        """An id is claimed once; another id is free."""
        claims = Claims(address=service)
        taken = [claims.try_claim(each) for each in ('a', 'a', 'b')]
        assert taken == [True, False, True]

    @pytest.mark.parametrize(
        'fault',
        [{'down': True}, {'lose_replies': 1}, {'refuse': True}],
    )
    def test_not_held_when_unsure(
        self,
        service: str,
        fault: dict[str, object],
    ) -> None:
        """A claim without an answer is not held by anybody."""
        http.post(service, '/control/faults', fault)
        assert not Claims(address=service).try_claim('a')


class TestCosts:
    """The measured costs of tickets."""

    def test_are_all_there(self) -> None:
        """Each cost is measured and above zero."""
        costs = memory_costs(1)
        assert set(costs) == {
            'issue_us',
            'run_us',
            'repeat_us',
            'bytes_per_id',
        }
        assert min(costs.values()) > 0
