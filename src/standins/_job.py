"""A request as the target stand-in runs it."""

from dataclasses import dataclass

from standins._asgi import Call
from standins._runs import Run

DEFAULT_BYTES = 1024
NEVER_MS = float('inf')


@dataclass(slots=True)
class Job:
    """What a request asks of the target stand-in.

    Parameters
    ----------
    run
        Its line in the run log.
    work_ms
        How long it takes.
    body_bytes
        The size of its answer.
    expires_ms
        When it must not be started any more, on the target's clock.
    is_poison
        Whether the target dies of it.
    """

    run: Run
    work_ms: float
    body_bytes: int
    expires_ms: float
    is_poison: bool


def read_job(call: Call, default_work_ms: float) -> Job:
    """Return the job of a request."""
    query = call.query
    headers = call.headers
    run = Run(
        request_id=_header(headers, b'laburnumyard-request-id'),
        ticket=_header(headers, b'laburnumyard-ticket'),
        echo=query.get('echo', ''),
        key_hash=_header(headers, b'laburnumyard-key-hash'),
    )
    work_ms = _header(headers, b'x-work-ms') or query.get('work_ms')
    expires_ms = _header(headers, b'laburnumyard-expires-ms')
    return Job(
        run,
        float(work_ms or default_work_ms),
        int(query.get('size', DEFAULT_BYTES)),
        float(expires_ms or NEVER_MS),
        b'x-poison' in headers or 'poison' in query,
    )


def encode_body(job: Job) -> bytes:
    """Return an answer that shows whose it is and that it is whole."""
    run = job.run
    head = f'echo={run.echo} id={run.request_id} key={run.key_hash}\n'
    tail = f'\nend={run.echo}'
    padding = 'x' * (job.body_bytes - len(head) - len(tail))
    return f'{head}{padding}{tail}'.encode()


def _header(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b'').decode('latin-1')
