"""Many servers turn slow at once, and each daemon finds out by itself.

The pattern: one server in seven works eight times as long for 8 s. A daemon of
67 asks each shard 1.5 times a second, so in that time it has a dozen tries at
each; one of nine daemons has a hundred. The figures: an answer usually takes
30 ms of an aim of 235 ms; a server in another region has to be 69 ms faster.
Servers also pause for 250 ms each 6 s, which is no reason to leave them.
"""

from typing import Final

import pytest
from core_builders_routes import World, pace, server

from fennelfork.routes import Selection, ServerState

_AIM_MS: Final = 235
_USUAL_MS: Final = 30
_SLOW: Final = 8
_PAUSE: Final = 250 / _USUAL_MS
_ASK_MS: Final = 670


class TestSlowServers:
    """The nearest server of a shard is slow."""

    def setup_method(self) -> None:
        """Begin with one server nearby and one in another region."""
        self.world = World()
        for place in ('here', 'far'):
            self.world.roster.put(server('shard', place, data_centre=place))
        self.pace = pace(_AIM_MS)
        for _ in range(50):
            self.pace.record(_USUAL_MS)
        self.near = self.world.state_of('shard', 'here')

    def test_left_after_two_slow_answers(self) -> None:
        """The third request goes where it is answered in time."""
        assert self._slow_answers_until_left() == 2

    def test_is_asked_again(self) -> None:
        """After some seconds it is tried, as spells are short."""
        self._slow_answers_until_left()
        self.world.time.advance(15_000)
        assert self._chosen() == 'here'

    def test_is_not_forgotten_between_requests(self) -> None:
        """At 1.5 requests a second it is still left at the next ones."""
        self._slow_answers_until_left()
        for _ in range(3):
            self.world.time.advance(_ASK_MS)
            assert self._chosen() == 'far'

    @pytest.mark.parametrize('between', [3, 8])
    def test_a_pause_is_no_spell(self, between: int) -> None:
        """One late answer among usual ones leaves it preferred."""
        for _ in range(5):
            self._sample(self.near, _PAUSE)
            assert self._chosen() == 'here'
            for _ in range(between):
                self._sample(self.near, 1)

    def _slow_answers_until_left(self) -> int:
        answers = 0
        while self._chosen() == 'here':
            self._sample(self.near, _SLOW)
            answers += 1
        return answers

    def _sample(self, state: ServerState, ratio: float) -> None:
        self.world.time.advance(_ASK_MS)
        state.sample(ratio, self.world.time.at_ms)

    def _chosen(self) -> str:
        wanted = Selection(service='shard', tried=(), pace=self.pace)
        chosen = self.world.parts.selector.choose(wanted)
        assert chosen is not None
        return chosen.data_centre
