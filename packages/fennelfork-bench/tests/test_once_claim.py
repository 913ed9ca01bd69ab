"""Claims and costs that the experiment `once` measures."""

from collections.abc import Iterator

import pytest

from fennelfork_bench.experiments._once_claim import Claims
from fennelfork_bench.experiments._once_cost import measure_memory_costs
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import rig


@pytest.fixture
def service() -> Iterator[str]:
    """Start a key-value service and return its address."""
    with rig() as own:
        process = own.start_module('key-value', 'fennelfork_bench.kv')
        yield process.await_ready().ready['address']


@pytest.mark.process
class TestClaims:
    """Claims in the stand-in of the key-value service."""

    def test_claim_is_exclusive(self, service: str) -> None:
        """An id is claimed at most once; other ids are independent."""
        claims = Claims(address=service)
        claimed = [claims.try_claim(each) for each in ('a', 'a', 'b')]
        assert claimed == [True, False, True]

    @pytest.mark.parametrize(
        'fault',
        [{'down': True}, {'lose_replies': 1}, {'refuse': True}],
    )
    def test_unconfirmed_claim_fails(
        self,
        service: str,
        fault: dict[str, object],
    ) -> None:
        """A claim without a response is not confirmed."""
        http.post(service, '/control/faults', fault)
        assert not Claims(address=service).try_claim('a')


class TestCosts:
    """Costs of tickets and of request ids."""

    def test_all_are_measured(self) -> None:
        """Each cost is present and positive."""
        costs = measure_memory_costs(1)
        assert set(costs) == {
            'issue_us',
            'run_us',
            'repeat_us',
            'bytes_per_id',
        }
        assert min(costs.values()) > 0
