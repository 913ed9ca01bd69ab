"""The OpenAPI file, and answers of a daemon held against it."""

import pathlib
from typing import Any, Final

import attrs
import jsonschema
import urllib3
import yaml

_ROOT: Final = pathlib.Path(__file__).parents[3]
_SPEC: Final = yaml.safe_load((_ROOT / 'docs/openapi.yaml').read_text())
_TIMEOUT_S: Final = 20


@attrs.frozen(kw_only=True)
class Answer:
    """One answer that the file allows."""

    status: int
    tree: Any
    headers: Any


@attrs.frozen(kw_only=True)
class Asked:
    """One request, and the path of the file that it is under."""

    address: str
    path: str
    template: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Operation:
    """A path and method of the file."""

    tag: str
    method: str
    path: str

    def __str__(self) -> str:
        """Name it in the output of tests."""
        return f'{self.method} {self.path}'


def documented() -> list[Operation]:
    """List all operations of the file."""
    return [
        Operation(tag=found['tags'][0], method=method.upper(), path=path)
        for path, methods in _SPEC['paths'].items()
        for method, found in methods.items()
    ]


def metrics_page() -> str:
    """Read the operators' page on metrics."""
    return (_ROOT / 'docs/operators/metrics.md').read_text()


def touch(address: str, operation: Operation) -> tuple[int, str]:
    """Call an operation with names that stand for nothing.

    Returns:
        The status, and the detail of the problem if there is one.
    """
    path = operation.path.replace('{', '').replace('}', '')
    response = urllib3.request(
        operation.method,
        f'http://{address}{path}',
        body=b'{}' if operation.method == 'POST' else None,
        timeout=_TIMEOUT_S,
        retries=False,
    )
    kind = response.headers['Content-Type']
    if 'problem' not in kind:
        return response.status, ''
    return response.status, response.json()['detail']


def ask(asked: Asked) -> Answer:
    """Send a request and hold the answer against the file.

    Raises:
        AssertionError: if the status or the type of content is not in it.
        jsonschema.ValidationError: if the body is not as it says.
    """
    method = 'GET' if asked.body is None else 'POST'
    response = urllib3.request(
        method,
        f'http://{asked.address}{asked.path}',
        body=asked.body,
        headers=asked.headers,
        timeout=_TIMEOUT_S,
        retries=False,
    )
    operation = _SPEC['paths'][asked.template][method.lower()]
    documented = operation['responses']
    assert str(response.status) in documented, response.data
    content = _resolved(documented[str(response.status)])['content']
    kind = response.headers['Content-Type'].partition(';')[0]
    assert kind in content, kind
    tree = response.json() if kind.endswith('json') else response.data.decode()
    _validate(tree, content[kind]['schema'])
    return Answer(
        status=response.status,
        tree=tree,
        headers=response.headers,
    )


def _resolved(tree: dict[str, Any]) -> dict[str, Any]:
    if '$ref' not in tree:
        return tree
    found: Any = _SPEC
    for name in tree['$ref'].removeprefix('#/').split('/'):
        found = found[name]
    return found


def _validate(tree: Any, schema: dict[str, Any]) -> None:
    whole = {'components': _SPEC['components'], **schema}
    jsonschema.Draft202012Validator(whole).validate(tree)
