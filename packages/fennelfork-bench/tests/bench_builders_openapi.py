"""Validation of responses of a daemon against the OpenAPI document."""

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
class ApiResponse:
    """Response that matches the OpenAPI document."""

    status: int
    body: Any
    headers: Any


@attrs.frozen(kw_only=True)
class ApiRequest:
    """Request and the path template of the OpenAPI document."""

    address: str
    path: str
    template: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Operation:
    """Path and method of the OpenAPI document."""

    tag: str
    method: str
    path: str

    def __str__(self) -> str:
        """Return the name of the operation for the output of tests."""
        return f'{self.method} {self.path}'


def documented_operations() -> list[Operation]:
    """Return all operations of the OpenAPI document."""
    return [
        Operation(tag=found['tags'][0], method=method.upper(), path=path)
        for path, methods in _SPEC['paths'].items()
        for method, found in methods.items()
    ]


def metrics_page() -> str:
    """Return the text of the operators' page on metrics."""
    return (_ROOT / 'docs/operators/metrics.md').read_text()


def call_operation(address: str, operation: Operation) -> tuple[int, str]:
    """Call an operation with placeholder names.

    Returns:
        Status, and the detail of the problem or an empty text.
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


def send_checked(request: ApiRequest) -> ApiResponse:
    """Send a request and validate the response.

    Raises:
        AssertionError: if the status or content type is not documented.
        jsonschema.ValidationError: if the body does not match the schema.
    """
    method = 'GET' if request.body is None else 'POST'
    response = urllib3.request(
        method,
        f'http://{request.address}{request.path}',
        body=request.body,
        headers=request.headers,
        timeout=_TIMEOUT_S,
        retries=False,
    )
    operation = _SPEC['paths'][request.template][method.lower()]
    responses = operation['responses']
    assert str(response.status) in responses, response.data
    content = _resolved(responses[str(response.status)])['content']
    kind = response.headers['Content-Type'].partition(';')[0]
    assert kind in content, kind
    body = response.json() if kind.endswith('json') else response.data.decode()
    _validate(body, content[kind]['schema'])
    return ApiResponse(
        status=response.status,
        body=body,
        headers=response.headers,
    )


def _resolved(node: dict[str, Any]) -> dict[str, Any]:
    if '$ref' not in node:
        return node
    found: Any = _SPEC
    for name in node['$ref'].removeprefix('#/').split('/'):
        found = found[name]
    return found


def _validate(body: Any, schema: dict[str, Any]) -> None:
    whole = {'components': _SPEC['components'], **schema}
    jsonschema.Draft202012Validator(whole).validate(body)
