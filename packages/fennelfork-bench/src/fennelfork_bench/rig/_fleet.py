"""Fleet of real processes: platform, backend servers and daemons."""

from collections.abc import Callable, Iterable
from typing import Final, Self

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._platform import Platform, start_platform
from fennelfork_bench.rig._process import Process, Rig, wait_until
from fennelfork_bench.rig._settings import format_settings_toml
from fennelfork_bench.rig._specs import BackendSpec, DaemonSpec, FleetSpec

_START_TIMEOUT_S: Final = 60
_ANY_PORT: Final = '127.0.0.1:0'


def _ignore_ready(process: Process) -> None:
    """Do nothing when a daemon becomes ready."""


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """Processes of a `FleetSpec` by name."""

    spec: FleetSpec
    rig: Rig
    platform: Platform
    backends: dict[str, Process] = attrs.field(factory=dict)
    daemons: dict[str, Process] = attrs.field(factory=dict)
    _leaving: set[str] = attrs.field(factory=set)

    @property
    def running_daemons(self) -> list[Process]:
        """Daemons whose process is running."""
        return [each for each in self.daemons.values() if each.alive]

    @property
    def callers(self) -> list[str]:
        """Caller addresses of the running daemons."""
        return [each.ready['caller'] for each in self.running_daemons]

    @property
    def operators(self) -> list[str]:
        """Operator addresses of the running daemons."""
        return [each.ready['operator'] for each in self.running_daemons]

    def start_backends(self) -> Self:
        """Start every backend server and wait until all are ready."""
        shards = [shard for front in self.spec.fronts for shard in front.shards]
        started = [
            launch_backend(self.rig, server)
            for shard in shards
            for server in shard.servers
        ]
        for process in started:
            self.backends[process.name] = process.await_ready(_START_TIMEOUT_S)
        return self

    def start_daemons(
        self,
        specs: Iterable[DaemonSpec] = (),
        on_ready: Callable[[Process], None] = _ignore_ready,
    ) -> Self:
        """Start daemons, list their VMs and wait until all are members.

        Args:
            specs: daemons to start; all daemons of the fleet if empty.
            on_ready: callback for each ready daemon, which runs before the
                daemon becomes visible in `daemons`.
        """
        daemon_specs = tuple(specs) or self.spec.daemons
        started = [self._launch_daemon(spec) for spec in daemon_specs]
        for process in started:
            process.await_ready(_START_TIMEOUT_S)
            on_ready(process)
            self.daemons[process.name] = process
            self._leaving.discard(process.name)
        self.update_vm_list()
        self._await_members(started)
        return self

    def daemon_spec(self, name: str) -> DaemonSpec:
        """Return the spec of a daemon by name."""
        return next(each for each in self.spec.daemons if each.name == name)

    def mark_vm_leaving(self, name: str) -> None:
        """Mark the VM of a daemon as leaving in the VM list."""
        self._leaving.add(name)
        self.update_vm_list()

    def update_vm_list(self) -> None:
        """Update the VM list to the VMs of the running daemons."""
        specs = [self.daemon_spec(each.name) for each in self.running_daemons]
        self.platform.update_vm_list(
            [self._describe_vm(spec) for spec in specs]
        )

    def _await_members(self, started: list[Process]) -> None:
        """Wait until started daemons list each other and an older daemon."""
        names = {process.name for process in started}
        min_members = len(names)
        if len(self.running_daemons) > min_members:
            min_members += 1
        wait_until(
            lambda: all(
                names <= _known_members(process)
                and len(_known_members(process)) >= min_members
                for process in started
            ),
            _START_TIMEOUT_S,
            'daemons to know each other',
            lambda: str({each.name: _known_members(each) for each in started}),
        )

    def _launch_daemon(self, spec: DaemonSpec) -> Process:
        settings = format_settings_toml(
            spec,
            self.platform.key_value_address,
            self.platform.vm_list_address,
        )
        path = self.rig.directory / f'{spec.name}.toml'
        path.write_text(settings)
        arguments = ('--config', str(path))
        return self.rig.start_module(spec.name, 'fennelfork_daemon', arguments)

    def _describe_vm(self, spec: DaemonSpec) -> dict[str, str]:
        return {
            'name': spec.name,
            'region': spec.region,
            'data_centre': spec.data_centre,
            **self.daemons[spec.name].ready,
            'state': 'leaving' if spec.name in self._leaving else 'live',
        }


def _known_members(process: Process) -> set[str]:
    reply = http.get(process.ready['operator'], '/v1/members')
    return {row['name'] for row in reply.body.get('members', ())}


def launch_backend(
    rig: Rig, spec: BackendSpec, listen: str = _ANY_PORT
) -> Process:
    """Start the process of a backend server, which is not ready yet.

    Args:
        rig: rig that owns the process.
        spec: specification of the backend server.
        listen: `host:port` on which the server listens.
    """
    options = attrs.asdict(spec)
    options.pop('data_centre')
    arguments = [f'--listen={listen}']
    for name, setting in options.items():
        option = name.replace('_', '-')
        arguments.append(f'--{option}={setting}')
    module = 'fennelfork_bench.backend'
    return rig.start_module(spec.name, module, arguments)


def empty_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start only the platform stand-ins of a fleet.

    Args:
        rig: rig that owns the processes.
        spec: specification of the fleet.
    """
    return Fleet(spec=spec, rig=rig, platform=start_platform(rig, spec))
