"""A whole fleet as real processes: platform, backend servers, daemons."""

from collections.abc import Callable, Iterable
from typing import Final, Self

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._platform import Platform, start_platform
from fennelfork_bench.rig._process import Process, Rig, wait_until
from fennelfork_bench.rig._settings import settings_toml
from fennelfork_bench.rig._specs import BackendSpec, DaemonSpec, FleetSpec

_START_CAP_S: Final = 60


def _do_nothing(process: Process) -> None:
    """Take no notice of a daemon that serves."""


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The running processes of a `FleetSpec`, by name."""

    spec: FleetSpec
    rig: Rig
    platform: Platform
    backends: dict[str, Process] = attrs.field(factory=dict)
    daemons: dict[str, Process] = attrs.field(factory=dict)
    _leaving: set[str] = attrs.field(factory=set)

    @property
    def living(self) -> list[Process]:
        """The daemons that have not ended."""
        return [each for each in self.daemons.values() if each.alive]

    @property
    def callers(self) -> list[str]:
        """Caller addresses of the living daemons."""
        return [each.ready['caller'] for each in self.living]

    @property
    def operators(self) -> list[str]:
        """Operator addresses of the living daemons."""
        return [each.ready['operator'] for each in self.living]

    def start_backends(self) -> Self:
        """Start every backend server and wait until all serve."""
        shards = [shard for front in self.spec.fronts for shard in front.shards]
        started = [
            self._launch_backend(server)
            for shard in shards
            for server in shard.servers
        ]
        for process in started:
            self.backends[process.name] = process.await_ready(_START_CAP_S)
        return self

    def start_daemons(
        self,
        specs: Iterable[DaemonSpec] = (),
        on_ready: Callable[[Process], None] = _do_nothing,
    ) -> Self:
        """Start daemons, list them, and wait until they know each other.

        Args:
            specs: which; all of the fleet if none are named.
            on_ready: told of each that serves, before anyone else looks.
        """
        chosen = tuple(specs) or self.spec.daemons
        started = [self._launch_daemon(spec) for spec in chosen]
        for process in started:
            process.await_ready(_START_CAP_S)
            on_ready(process)
            self.daemons[process.name] = process
            self._leaving.discard(process.name)
        self.list_vms()
        self._await_members(started)
        return self

    def daemon_spec(self, name: str) -> DaemonSpec:
        """Give the spec of a daemon by its name."""
        return next(each for each in self.spec.daemons if each.name == name)

    def mark_leaving(self, name: str) -> None:
        """Show a daemon's VM as leaving in the platform's list."""
        self._leaving.add(name)
        self.list_vms()

    def list_vms(self) -> None:
        """Write the truth of the VM list from the living processes."""
        specs = [self.daemon_spec(each.name) for each in self.living]
        self.platform.list_vms([self._vm(spec) for spec in specs])

    def _await_members(self, started: list[Process]) -> None:
        """Wait until started daemons know each other, or one that ran."""
        names = {process.name for process in started}
        least = len(names)
        if len(self.living) > least:
            least += 1
        wait_until(
            lambda: all(
                names <= _known(process) and len(_known(process)) >= least
                for process in started
            ),
            _START_CAP_S,
            'daemons to know each other',
            lambda: str({each.name: _known(each) for each in started}),
        )

    def _launch_backend(self, spec: BackendSpec) -> Process:
        options = attrs.asdict(spec)
        options.pop('data_centre')
        arguments = ['--listen=127.0.0.1:0']
        for name, setting in options.items():
            option = name.replace('_', '-')
            arguments.append(f'--{option}={setting}')
        module = 'fennelfork_bench.backend'
        return self.rig.start_module(spec.name, module, arguments)

    def _launch_daemon(self, spec: DaemonSpec) -> Process:
        settings = settings_toml(
            spec,
            self.platform.key_value_address,
            self.platform.vm_list_address,
        )
        path = self.rig.directory / f'{spec.name}.toml'
        path.write_text(settings)
        arguments = ('--config', str(path))
        return self.rig.start_module(spec.name, 'fennelfork_daemon', arguments)

    def _vm(self, spec: DaemonSpec) -> dict[str, str]:
        return {
            'name': spec.name,
            'region': spec.region,
            'data_centre': spec.data_centre,
            **self.daemons[spec.name].ready,
            'state': 'leaving' if spec.name in self._leaving else 'live',
        }


def _known(process: Process) -> set[str]:
    reply = http.get(process.ready['operator'], '/v1/members')
    return {row['name'] for row in reply.body.get('members', ())}


def empty_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start the platform's stand-ins of a fleet and nothing else yet.

    Args:
        rig: takes the processes.
        spec: the whole fleet.
    """
    return Fleet(spec=spec, rig=rig, platform=start_platform(rig, spec))
