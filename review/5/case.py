"""A model replica sends an event of a stream that never ends."""

import asyncio
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import parts_2 as parts  # noqa: E402

TRAFFIC_S = 30.0
TROUBLE_AT_S = 4.0
REQUESTS_PER_S = 6
TIMEOUT_S = 1.0
SLACK_S = 0.5
STREAM_TIMEOUT_S = 8.0
#: Pace of the event without end: the link of a ``side`` machine (10 Mbit/s).
BYTES_PER_S = int(os.environ.get('PACE', '1250000'))
WRITE_BYTES = 1000
RANK = 'i-99999999'


def read_head(sock):
    rest = b''
    while b'\r\n\r\n' not in rest:
        piece = sock.recv(65536)
        if not piece:
            raise ConnectionError
        rest += piece
    lines = rest.partition(b'\r\n\r\n')[0].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return fields


def answer_stream(sock, has_trouble):
    """Send three events, and then either the last one or one without end."""
    attempt = read_head(sock).get('x-attempt-id', '')
    print(f'{RANK} runs {attempt}', flush=True)
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    sock.sendall(head.encode())
    for number in range(1, 4):
        send_chunk(sock, b'id: %d\ndata: token\n\n' % number)
        time.sleep(0.05)
    if not has_trouble:
        send_chunk(sock, b'id: 4\ndata: token\n\n')
        sock.sendall(b'0\r\n\r\n')
        return
    print(f'{RANK} sends bytes without end on {attempt}', flush=True)
    began = time.monotonic()
    sent = 0
    piece = b'x' * WRITE_BYTES
    while True:
        send_chunk(sock, piece)
        sent += WRITE_BYTES
        ahead = sent / BYTES_PER_S - (time.monotonic() - began)
        if ahead > 0:
            time.sleep(ahead)


def send_chunk(sock, piece):
    sock.sendall(b'%x\r\n%b\r\n' % (len(piece), piece))


def serve_rank(has_trouble):
    """Run a model replica in a process of its own."""

    def serve(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            answer_stream(sock, has_trouble)
        except OSError as error:
            print(f'{RANK}: caller closed: {type(error).__name__}', flush=True)
        finally:
            sock.close()

    listener = socket.create_server((parts.HOST, 0), backlog=64)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


async def copy_lines(stream, record):
    while line := await stream.readline():
        record.write(line.decode().rstrip())


async def ask_for_stream(entry, record):
    """Ask for one stream, and leave at the client's deadline at the latest."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(*entry.front)
    request = (
        'POST /lohu930/2f HTTP/1.1\r\n'
        f'Host: {parts.SITE_HOST}\r\nX-Attempt-Id: s000001\r\n'
        'X-Model: m\r\nX-Token-Usage: 674,80\r\n'
        'X-Prompt-Prefix: 5c1e07a2:40,e4402b7d:634\r\n'
        f'X-Deadline-Ms: 8051\r\nX-Api-Key: {parts.KEY}\r\n'
        'Content-Length: 6\r\n\r\nprompt'
    )
    writer.write(request.encode())
    record.write('client asks for the stream s000001')
    received = 0
    try:
        async with asyncio.timeout(8.051):
            while piece := await reader.read(65536):
                received += len(piece)
                if piece.endswith(b'0\r\n\r\n'):
                    record.write('client has the whole stream')
                    return
        record.write('the stream was cut')
    except TimeoutError:
        record.write('client leaves the stream at its deadline')
    finally:
        writer.transport.abort()
        record.write(
            f'stream: {received} bytes in {time.monotonic() - began:.2f} s'
        )


async def send_requests(entry, record, outcomes):
    began = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - began < TRAFFIC_S:
        number += 1
        tasks.append(asyncio.create_task(send(entry, number, record, outcomes)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def send(entry, number, record, outcomes):
    attempt = f'a{number:06d}'
    record.write(f'client sends {attempt}')
    answer = await parts.call(
        entry.front,
        'GET',
        '/puxa403/2f',
        {
            'Host': parts.SITE_HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': '1015',
            'X-Api-Key': parts.KEY,
        },
        TIMEOUT_S + SLACK_S,
    )
    seconds = TIMEOUT_S + SLACK_S if answer is None else answer.seconds
    status = 'none' if answer is None else answer.status
    record.write(f'client has {status} for {attempt} after {seconds:.3f} s')
    outcomes.append((answer is not None, seconds))


async def ask_ready(entry, record):
    while True:
        answer = await parts.call(
            entry.ready, 'GET', '/ready', {'Host': 'ready'}, 1.0
        )
        status = 'no answer' if answer is None else answer.status
        record.write(f'ready: {status}; memory {entry.read_memory_mb()} MB')
        await asyncio.sleep(1)


def make_config():
    return parts.make_config(
        [
            parts.make_route(
                'stmt-draft',
                '/lohu930/',
                'drafter',
                'streaming',
                TimeoutMs=int(STREAM_TIMEOUT_S * 1000),
                TargetLatencyMs=400,
                TargetGapMs=120,
                CanResume=True,
                Priority=1,
            ),
            parts.make_route(
                'bal-read',
                '/puxa403/',
                'ledger-api',
                'idempotent',
                TimeoutMs=int(TIMEOUT_S * 1000),
                TargetLatencyMs=100,
            ),
        ],
        [
            {
                'Name': 'drafter',
                'MaxConnections': 408,
                'HealthPath': '/health',
                'Engine': {
                    'Slots': 12,
                    'LinkMbps': 180000.0,
                    'Stride': 5,
                    'step_ms': 5.85,
                    'Sets': 1,
                    'Experts': 12,
                    'Placements': 5,
                    'Spare': 2,
                    'ExpertMb': 10.0,
                },
            },
            {
                'Name': 'ledger-api',
                'MaxConnections': 96,
                'HealthPath': '/health',
            },
        ],
    )


async def run(record, folder, has_trouble):
    store = parts.Store()
    await store.start()
    replicas = [
        parts.Replica(name, 'ledger-api', store, record)
        for name in ('i-11111111', 'i-22222222', 'i-33333333')
    ]
    for replica in replicas:
        await replica.start()
    rank = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / 'case.py'),
        'rank',
        str(int(has_trouble)),
        stdout=subprocess.PIPE,
    )
    entry = parts.Program('entry', folder, store.address)
    background = []
    try:
        port = int(await rank.stdout.readline())
        background.append(asyncio.create_task(copy_lines(rank.stdout, record)))
        await store.put(
            f'servers/{RANK}', parts.make_entry('drafter', (parts.HOST, port))
        )
        background += [asyncio.create_task(one.beat()) for one in replicas]
        await store.put('op/config', make_config())
        entry.start()
        if not await parts.wait_ready(entry):
            raise RuntimeError('the entry does not become ready')
        background.append(asyncio.create_task(ask_ready(entry, record)))
        outcomes = []
        sending = asyncio.create_task(send_requests(entry, record, outcomes))
        await asyncio.sleep(TROUBLE_AT_S)
        await ask_for_stream(entry, record)
        await sending
        is_broken = judge(outcomes, record)
    finally:
        for task in background:
            task.cancel()
        took = await entry.stop()
        record.write(
            'entry killed at the end of the grace after SIGTERM'
            if took is None
            else f'entry ended {took:.1f} s after SIGTERM'
        )
        if rank.returncode is None:
            rank.kill()
            await rank.wait()
        entry.write_log(record)
    return is_broken


def judge(outcomes, record):
    """CONFIG: of the requests unanswered at TimeoutMs, over half have none
    half a second later; eight of them at least, as in the rule's last line."""
    late = [one for one in outcomes if one[1] > TIMEOUT_S]
    unanswered = [one for one in late if not one[0]]
    text = (
        f'{len(outcomes)} requests; {len(late)} unanswered at TimeoutMs, '
        f'{len(unanswered)} of them 0.5 s later as well'
    )
    record.write(text)
    print(text)
    return len(unanswered) >= 8 and 2 * len(unanswered) > len(late)


if __name__ == '__main__':
    if sys.argv[1:2] == ['rank']:
        serve_rank(sys.argv[2] == '1')
    else:
        parts.run_case(run, HERE)
