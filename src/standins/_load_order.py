"""One request of a caller, as bytes."""

from dataclasses import dataclass

from standins._load_settings import CallerClass


@dataclass(frozen=True, slots=True)
class Order:
    """One request before it is sent."""

    echo: str
    key: str
    due_s: float


def encode_request(callers: CallerClass, order: Order, ticket: str) -> bytes:
    """Return a request with its headers and body."""
    query = f'echo={order.echo}&size={callers.size}&work_ms={callers.work_ms}'
    lines = [
        f'{callers.method} {callers.path}?{query} HTTP/1.1',
        'host: laburnumyard',
    ]
    headers = {
        'laburnumyard-key': order.key,
        'laburnumyard-deadline-ms': callers.deadline_ms,
        'laburnumyard-customer': callers.customer,
        'authorization': f'Bearer {callers.token}' if callers.token else '',
        'laburnumyard-repeatable': 'no' if callers.tickets else '',
        'laburnumyard-ticket': ticket,
        'laburnumyard-key-hash': callers.key_hash,
        'content-length': callers.body_bytes,
    }
    lines += [f'{name}: {text}' for name, text in headers.items() if text]
    body = b'b' * callers.body_bytes
    return b'%s\r\n\r\n%s' % ('\r\n'.join(lines).encode(), body)


def is_own(order: Order, body: bytes) -> bool:
    """Tell whether an answer of the target stand-in belongs to an order."""
    starts = body.startswith(f'echo={order.echo} '.encode())
    return starts and body.endswith(f'\nend={order.echo}'.encode())
