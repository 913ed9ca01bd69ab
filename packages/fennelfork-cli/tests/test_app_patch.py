"""The command `config patch` against a scripted daemon.

Guards against a patch that is sent twice or reported with a wrong outcome.
"""

from typing import Any

from cli_builders import (
    CLOSE_CONNECTION,
    Answer,
    patch_record,
    problem,
    scripted_daemon,
)


def _send_patch_command(
    command: Any,
    script: dict[str, list[Any]],
    *extra_arguments: str,
) -> Any:
    with scripted_daemon(script) as daemon:
        outcome = command(
            'config',
            'patch',
            '--base=4',
            '--patch-id=p9',
            f'--operator={daemon.address}',
            *extra_arguments,
        )
        return outcome, [body for _, body in daemon.posted]


class TestPatch:
    """The command `config patch`."""

    def test_accepted(self, patch_file: str, command: Any) -> None:
        """The new version is printed; removals are sent as null."""
        outcome, posted = _send_patch_command(
            command,
            {'/v1/config/patch': [Answer(payload={'version': 5})]},
            patch_file,
            '--remove=fronts.old',
        )
        assert outcome[0] == 0
        assert 'version 5 accepted, patch p9' in outcome[1]
        assert posted[0]['base'] == 4
        assert posted[0]['patch']['fronts'] == {
            'raft-search': {'hedge': {'delay_ms': 20}},
            'old': None,
        }

    def test_lost_reply(self, patch_file: str, command: Any) -> None:
        """After a lost reply the patch is retried with the same patch id."""
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    CLOSE_CONNECTION,
                    CLOSE_CONNECTION,
                    Answer(payload={'version': 5}),
                ]
            },
            patch_file,
        )
        assert outcome[0] == 0
        assert [body['patch_id'] for body in posted] == ['p9', 'p9', 'p9']
        assert posted[0] == posted[2]

    def test_version_conflict(self, patch_file: str, command: Any) -> None:
        """A conflict shows the active version, its author and a diff."""
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    problem(
                        409,
                        code='conflict',
                        version=6,
                        since=[patch_record(6)],
                        changes=[{'path': 'a.b', 'before': 25, 'after': 20}],
                    ),
                ],
            },
            patch_file,
        )
        assert outcome[0] == 3
        assert len(posted) == 1
        lines = outcome[2].splitlines()
        assert 'version 6 is active; nothing was changed' in lines[0]
        assert lines[3].split()[:2] == ['6', 'anna']
        assert lines[-1].split() == ['a.b', '25', '20']

    def test_outcome_unknown(self, patch_file: str, command: Any) -> None:
        """If every reply is lost, the retry options are printed, exit 4."""
        outcome, _ = _send_patch_command(
            command,
            {'/v1/config/patch': [CLOSE_CONNECTION]},
            patch_file,
        )
        assert outcome[0] == 4
        assert '--base 4 --patch-id p9' in outcome[2]

    def test_refusal_after_a_lost_reply(
        self,
        patch_file: str,
        command: Any,
    ) -> None:
        """The verdict "not run" of a retry does not cover a lost attempt."""
        refusal = problem(503, code='platform')
        outcome, _ = _send_patch_command(
            command,
            {'/v1/config/patch': [CLOSE_CONNECTION, refusal]},
            patch_file,
        )
        assert outcome[0] == 4

    def test_refused(self, patch_file: str, command: Any) -> None:
        """An invalid patch leads to exit code 3 and shows allowed values."""
        wrong = [{'path': 'fronts.a', 'detail': 'unknown', 'allowed': 'b'}]
        outcome, posted = _send_patch_command(
            command,
            {
                '/v1/config/patch': [
                    problem(400, code='bad_request', problems=wrong),
                ],
            },
            patch_file,
        )
        assert outcome[0] == 3
        assert 'fronts.a: unknown; allowed: b' in outcome[2]
        assert len(posted) == 1
