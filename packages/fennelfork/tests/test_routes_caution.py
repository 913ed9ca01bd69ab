"""How many servers a request may end, and what that costs ordinary ones.

Seen: one query ended two servers of each of ten shards within 100 ms, as each
of its ten copies that broke off was sent to one server more.
"""

from core_builders_routes import ENDED, UNREACHED, World, gather, route

from fennelfork.routes import Dispatch, Ending, Send


def ended(request: Dispatch[str], sends: list[Send]) -> list[Send]:
    """End the server of each copy at once; give what is sent then."""
    return [
        more
        for send in sends
        for more in request.failed(send.attempt, ENDED, 1)
    ]


class TestFirstTime:
    """A request that nothing is known of."""

    def setup_method(self) -> None:
        """Send it to each of ten shards."""
        self.request = World().dispatch(route(target=gather(10)))
        self.sends = self.request.start(0)

    def test_all_end(self) -> None:
        """One further server is risked, not one of each shard."""
        risked = ended(self.request, self.sends)
        assert [send.alone for send in risked] == [True]
        assert not ended(self.request, risked)
        assert self.request.ending(2) is Ending.SETTLED

    def test_servers_crashed_together(self) -> None:
        """All are sent again as soon as the one at risk is answered."""
        risked = ended(self.request, self.sends)
        released = self.request.answered(risked[0].attempt, 'part', 2)
        assert len(released) == 9
        for send in released:
            self.request.answered(send.attempt, 'part', 3)
        assert self.request.ending(3) is Ending.SETTLED
        assert self.request.included == 10

    def test_others_answer(self) -> None:
        """What others have answered ends nobody: nothing waits."""
        for send in self.sends[2:]:
            self.request.answered(send.attempt, 'part', 1)
        again = ended(self.request, self.sends[:1])
        released = self.request.failed(self.sends[1].attempt, ENDED, 2)
        assert len(again) == 1
        assert not released
        answered = self.request.answered(again[0].attempt, 'part', 3)
        assert [send.server.service for send in answered] == ['shard-1']

    def test_answer_after_two_breaks(self) -> None:
        """So is one that is answered while a copy waits."""
        risked = ended(self.request, self.sends[:2])
        assert len(risked) == 1
        released = self.request.answered(self.sends[5].attempt, 'part', 2)
        assert [send.server.service for send in released] == ['shard-1']

    def test_risked_copy_finds_nobody(self) -> None:
        """The next one is risked where the first found no server."""
        risked = ended(self.request, self.sends)
        risked = self.request.failed(risked[0].attempt, UNREACHED, 2)
        assert [send.server.service for send in risked] == ['shard-1']
        assert risked[0].alone

    def test_one_service(self) -> None:
        """A request to one server gets its second attempt, by itself."""
        request = World().dispatch(route())
        again = ended(request, request.start(0))
        assert [send.alone for send in again] == [True]
        assert not ended(request, again)


class TestSuspected:
    """A request that has ended servers before."""

    def setup_method(self) -> None:
        """Send it to each of ten shards, of which two lost servers to it."""
        self.request = World().dispatch(
            route(target=gather(10)),
            suspect=('shard-7', 'shard-4'),
        )
        self.sends = self.request.start(0)

    def test_one_server(self) -> None:
        """One server is risked, of a service that lost some."""
        assert [send.server.service for send in self.sends] == ['shard-4']
        assert self.sends[0].alone
        assert self.request.ending(1) is None

    def test_ends_again(self) -> None:
        """That is all that it gets."""
        assert not ended(self.request, self.sends)
        assert self.request.ending(2) is Ending.SETTLED

    def test_is_answered(self) -> None:
        """Then it is like any other."""
        released = self.request.answered(self.sends[0].attempt, 'part', 2)
        assert len(released) == 9
        assert not any(send.alone for send in released)

    def test_late(self) -> None:
        """A server that only is slow keeps nobody waiting for long."""
        copies = self.request.late(200)
        assert [send.alone for send in copies] == [True]
        assert self.request.answered(copies[0].attempt, 'part', 210)

    def test_service_without_servers(self) -> None:
        """One of another service is risked where there is none."""
        world = World()
        wanted = route(target=gather(3))
        request = world.dispatch(wanted, suspect=('shard-0',))
        for place in ('here', 'near', 'far'):
            world.roster.remove(f'shard-0/{place}')
        sends = request.start(0)
        assert [send.server.service for send in sends] == ['shard-1']
