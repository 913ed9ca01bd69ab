"""Stand-ins of the platform as processes of the rig."""

import base64
import json
from collections.abc import Mapping, Sequence
from typing import Any, Final

import attrs

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._process import Process, Rig, RigError
from fennelfork_bench.rig._specs import FleetSpec

_ADDRESS_KEY: Final = 'address'
_CONFIG_KEY: Final = '/fennelfork/config'


@attrs.frozen(kw_only=True)
class Platform:
    """Stand-ins of the key-value service and of the VM list."""

    key_value: Process
    vm_list: Process

    @property
    def key_value_address(self) -> str:
        """Address of the key-value service."""
        return self.key_value.ready[_ADDRESS_KEY]

    @property
    def vm_list_address(self) -> str:
        """Address of the VM list."""
        return self.vm_list.ready[_ADDRESS_KEY]

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the key-value service.

        Raises:
            RigError: if the service refuses the faults.
        """
        reply = http.post(self.key_value_address, '/control/faults', faults)
        if not reply.is_success:
            raise RigError(f'the faults {faults} were refused: {reply.body}')

    def log(self, since_ms: float = 0) -> dict[str, Any]:
        """Fetch the counts and recent calls of the key-value service."""
        path = f'/control/log?since_ms={since_ms}'
        return http.get(self.key_value_address, path).body

    def count_vm_list_reads(self) -> int:
        """Return the number of reads of the VM list."""
        reply = http.get(self.vm_list_address, '/control/log')
        return int(reply.body['reads'])

    def update_vm_list(self, vms: Sequence[Mapping[str, str]]) -> None:
        """Replace the VMs of the VM list."""
        http.put(self.vm_list_address, '/control/vms', {'vms': vms})

    def write_document(self, document: Mapping[str, Any]) -> None:
        """Write the configuration document without validation."""
        body = {
            'key': _encode_base64(_CONFIG_KEY),
            'value': _encode_base64(json.dumps(document)),
        }
        http.post(self.key_value_address, '/v3/kv/put', body)


def start_platform(rig: Rig, spec: FleetSpec) -> Platform:
    """Start both stand-ins and wait until they are ready.

    Args:
        rig: rig that owns the processes.
        spec: spec with the lag of the VM list and the rate limits.
    """
    rates = (
        f'--reads-per-s={spec.reads_per_s}',
        f'--writes-per-s={spec.writes_per_s}',
    )
    lag = (f'--lag-ms={spec.lag_ms}',)
    key_value = rig.start_module('key-value', 'fennelfork_bench.kv', rates)
    vm_list = rig.start_module('vm-list', 'fennelfork_bench.vms', lag)
    return Platform(
        key_value=key_value.await_ready(),
        vm_list=vm_list.await_ready(),
    )


def _encode_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
