"""The command line of the bench."""

import sys

import pytest

from fennelfork_bench.rig._process import Rig


@pytest.mark.process
class TestMain:
    """`python -m fennelfork_bench NAME`."""

    def test_unknown_name_is_refused(self, rig: Rig) -> None:
        """The error lists what is known; nothing is started."""
        command = (sys.executable, '-m', 'fennelfork_bench', 'nothing')
        process = rig.start('bench', command)
        assert process.wait(30) == 2
        said = process.stderr.read_text()
        assert 'unknown experiment nothing; known: ' in said
        assert 'demo' in said

    def test_prints_json(self, rig: Rig) -> None:
        """`--json` prints one object on standard output."""
        command = (sys.executable, '-m', 'fennelfork_bench', 'document')
        process = rig.start('bench', (*command, '--json', '--seed', '3'))
        assert process.wait(60) == 0
        said = process.stdout.read_text()
        assert said.startswith('{"experiment": "document", "seed": 3')
