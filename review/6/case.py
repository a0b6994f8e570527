"""Case 6: a client offers another protocol with requests that have bodies, as HTTP/1.1 allows."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    EDIT,
    WITH_TROUBLE,
    Agent,
    Balancer,
    Record,
    Upstream,
    read_message,
    run_case,
    site_settings,
)

OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)
"""What a client sends that offers HTTP/2 without TLS; a server that speaks only HTTP/1.1 ignores it."""

ANSWER_WITHIN_S = EDIT.deadline_ms / 1000 + 0.5
EDITS = 6
MAX_RUN_S = 60.0


def compose_edit(request_id: str, body: bytes) -> bytes:
    """Return the bytes of a keyed request with a body."""
    head = (
        f"POST /{EDIT.name}/parcel/{request_id} HTTP/1.1\r\n"
        "Host: api.internal\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Class: {EDIT.name}\r\n"
        "X-Tenant: akkerlijn\r\n"
        f"X-Deadline: {EDIT.deadline_ms:.0f}m\r\n"
        f"Idempotency-Key: key-{request_id}\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    return (head + (OFFER if WITH_TROUBLE else "") + "\r\n").encode() + body


def bodies() -> dict[str, bytes]:
    """Return the body of each edit by its id; that of the last one quotes a request in plain text."""
    ordinary = {
        f"edit-{n}": f'{{"parcel":{n},"outline":[[3.71,51.05],[3.72,51.06]]}}'.encode() for n in range(EDITS)
    }
    quoted = compose_edit("quoted", b"").replace(OFFER.encode(), b"")
    return ordinary | {"edit-with-note": quoted}


async def send_edit(address: str, request_id: str, body: bytes, record: Record) -> list[tuple[int, bytes]]:
    """Send an edit, and then an ordinary one on the same connection; return the answers in their order."""
    host, port = address.rsplit(":", 1)
    answers = []
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for sent_id, sent_body in ((request_id, body), (f"{request_id}-next", b"{}")):
            record.write(f"client sends {sent_id} with {len(sent_body)} bytes: {sent_body[:60]!r}")
            writer.write(compose_edit(sent_id, sent_body))
            answer = await asyncio.wait_for(read_message(reader, record), ANSWER_WITHIN_S)
            answers.append((int(answer.start_line.split(" ")[1]), answer.body))
            record.write(f"client has {answers[-1]} as the answer to {sent_id}")
            await asyncio.sleep(0.1)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"client: {error!r} instead of an answer")
    finally:
        writer.close()
    return answers


def find_faults(
    sent: dict[str, bytes], answers: dict[str, list[tuple[int, bytes]]], upstreams: list[Upstream]
) -> list[str]:
    """Compare what arrived at the upstreams, and what was answered, with what the clients sent."""
    faults = []
    for upstream in upstreams:
        for message in upstream.requests:
            request_id = message.headers.get("x-request-id", "")
            body = b"{}" if request_id.endswith("-next") else sent.get(request_id)
            if body is None:
                faults.append(f"{upstream.name} got {request_id}, which no client sent as a request")
            elif message.body != body:
                faults.append(
                    f"{upstream.name} got {request_id} with {message.body!r} in place of {body[:60]!r}"
                )
    for request_id, received in answers.items():
        for expected_id, (status, body) in zip((request_id, f"{request_id}-next"), received, strict=False):
            if status == 200 and not body.endswith(f" {expected_id}".encode()):
                faults.append(f"the client of {expected_id} got {body!r}")
    return faults


async def run(folder: Path, record: Record) -> bool:
    """Send edits; return whether each one reached an upstream unchanged, and nothing else did."""
    upstreams = [Upstream(f"s-{n}", record) for n in range(3)]
    for upstream in upstreams:
        await upstream.start()
    agent = Agent(record, [upstream.entry() for upstream in upstreams])
    await agent.start()
    balancer = Balancer(folder, record)
    try:
        await balancer.start(agent.address, agent.document(), site_settings(EDIT))
        sent, answers = bodies(), {}
        for request_id, body in sent.items():
            answers[request_id] = await send_edit(balancer.address, request_id, body, record)
        faults = find_faults(sent, answers, upstreams)
        for fault in faults:
            record.write(f"fault: {fault}")
        return not faults
    finally:
        await balancer.stop()


if __name__ == "__main__":
    run_case(run, Path(__file__).resolve().parent, MAX_RUN_S)
