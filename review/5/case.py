"""A daemon is stopped with SIGTERM while clients slowly read answers that it holds."""

import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
import rig

CLIENTS = 8
SIZE = 1_000_000
# A client has read its answer after five seconds, a second before the end of `grace`.
BYTES_PER_S = 200_000
DEADLINE_MS = 20_000
GRACE_S = 6
RECEIVE_BUFFER = 8192
SEGMENT = 1460


async def run(backend, head, body, writer):
    await backend.reply(head, writer, b"D" * SIZE)
    backend.record.line(f"server {backend.id} has sent the whole answer to {head.id}")
    return True


async def download(record, address, request_id):
    """Reads an answer at a steady pace. Returns the bytes of its body that arrived."""
    loop = asyncio.get_running_loop()
    ip, port = address.split(":")
    with socket.socket() as client:
        client.setblocking(False)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        await loop.sock_connect(client, (ip, int(port)))
        request = rig.request_bytes("GET", f"/files/{request_id}", request_id, DEADLINE_MS)
        await loop.sock_sendall(client, request)
        record.line(f"client sent {request_id}")
        begin, read, head_length, status = rig.now(), 0, None, None
        data = b""
        while head_length is None or read < head_length + SIZE:
            try:
                part = await loop.sock_recv(client, 8192)
            except ConnectionError:
                part = b""
            if not part:
                break
            read += len(part)
            if head_length is None:
                data += part
                if b"\r\n\r\n" in data:
                    head_length = data.index(b"\r\n\r\n") + 4
                    status = rig.Head(data[:head_length]).status
            await asyncio.sleep(max(0.0, begin + read / BYTES_PER_S - rig.now()))
    body = max(0, read - (head_length or read))
    record.line(f"client got {status} and {body} of {SIZE} bytes for {request_id}")
    return status, body


async def main(record, make_fleet):
    routes = [rig.route("/files/", "download", "files", "20000ms", "2500ms")]
    fleet = make_fleet(["files", "files"], routes, run, {"grace": f"{GRACE_S}s", "retryBudgetRatio": 0.2, "budgetSlack": 56})
    await fleet.start()
    await asyncio.sleep(8)
    ids = [f"d{number}" for number in range(CLIENTS)]
    downloads = [asyncio.ensure_future(download(record, fleet.outbound(0), name)) for name in ids]
    await asyncio.sleep(0.5)
    process = fleet.instances[0].process
    if rig.TROUBLE:
        process.send_signal(signal.SIGTERM)
        stopped = rig.now()
        record.line("SIGTERM to the daemon that took the requests")
        try:
            code = await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            process.kill()
            code = await process.wait()
        record.line(f"the daemon ended {rig.now() - stopped:.2f} s later with {code}")
        await asyncio.sleep(0.5)
        await fleet.instances[0].start()
        record.line("the platform starts the daemon again")
    answers = await asyncio.gather(*downloads)
    lost = 0
    for name, (status, body) in zip(ids, answers):
        if fleet.runs_of(name) == 0:
            continue
        lost += status == 200 and body < SIZE
    record.line(f"{lost} of {CLIENTS} answers ended before they were complete")
    return rig.BROKEN if lost else rig.HELD


rig.run_case(__file__, main)
