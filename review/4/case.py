"""A replica answers one request with a body that never ends."""

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

TRAFFIC_S = 20.0
TROUBLE_AT_S = 6.0
REQUESTS_PER_S = 8
TIMEOUT_S = 1.0
SLACK_S = 0.5
#: Pace of the endless bytes: a tenth of the entry's own link (1,000 Mbit/s).
BYTES_PER_S = int(os.environ.get('PACE', '12500000'))
#: Size of a chunk of the endless body.
CHUNK_BYTES = int(os.environ.get('CHUNK', '16'))
#: Where the bytes come: ``body`` or ``head``.
VARIANT = os.environ.get('VARIANT', 'body')


def read_head(sock, rest):
    while b'\r\n\r\n' not in rest:
        piece = sock.recv(65536)
        if not piece:
            return None, b''
        rest += piece
    head, _, rest = rest.partition(b'\r\n\r\n')
    fields = {}
    for line in head.decode('latin-1').split('\r\n')[1:]:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return (head.split()[1].decode(), fields), rest


def send_endless(sock):
    """Send bytes that are no answer until the caller closes."""
    chunk = b'HTTP/1.1 100 Continue\r\n\r\n'
    if VARIANT == 'body':
        chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, os.urandom(CHUNK_BYTES))
    block = chunk * max(1, 12500 // len(chunk))
    began = time.monotonic()
    sent = 0
    while True:
        sock.sendall(block)
        sent += len(block)
        ahead = sent / BYTES_PER_S - (time.monotonic() - began)
        if ahead > 0:
            time.sleep(ahead)


def serve_replica(name, trouble_at):
    """Run a replica in a process of its own; its address goes to stdout."""
    began = time.monotonic()
    lock = threading.Lock()
    state = {'done': False}

    def serve(sock):
        rest = b''
        try:
            while True:
                request, rest = read_head(sock, rest)
                if request is None:
                    return
                target, fields = request
                if target == '/health':
                    sock.sendall(
                        parts.make_answer(200, {'X-Replica-Id': name}, b'')
                    )
                    continue
                attempt = fields.get('x-attempt-id', '')
                print(f'{name} runs {attempt}', flush=True)
                head = {'X-Attempt-Id': attempt, 'X-Response-Seal': f's.{attempt}'}
                with lock:
                    is_bad = not state['done'] and (
                        0 < trouble_at < time.monotonic() - began
                    )
                    state['done'] = state['done'] or is_bad
                if is_bad:
                    print(f'{name} answers {attempt} without end', flush=True)
                    if VARIANT == 'head':
                        send_endless(sock)
                    sock.sendall(
                        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n'
                        b'X-Response-Seal: s.%b\r\n'
                        b'Transfer-Encoding: chunked\r\n\r\n'
                        % (attempt.encode(), attempt.encode())
                    )
                    send_endless(sock)
                time.sleep(0.0225)
                sock.sendall(parts.make_answer(200, head, b'x' * 800))
        except OSError as error:
            print(f'{name}: caller closed: {type(error).__name__}', flush=True)
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
        '/lohu930/2f',
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


async def run(record, folder, has_trouble):
    store = parts.Store()
    await store.start()
    names = ('i-11111111', 'i-22222222')
    replicas = [
        parts.Replica(name, 'ledger-api', store, record) for name in names
    ]
    for replica in replicas:
        await replica.start()
    trouble_at = TROUBLE_AT_S if has_trouble else 0
    third = await asyncio.create_subprocess_exec(
        sys.executable,
        str(HERE / 'case.py'),
        'replica',
        'i-33333333',
        str(trouble_at),
        stdout=subprocess.PIPE,
    )
    entry = parts.Program('entry', folder, store.address)
    background = []
    try:
        port = int(await third.stdout.readline())
        background.append(
            asyncio.create_task(copy_lines(third.stdout, record))
        )

        async def beat():
            sequence = 0
            while True:
                sequence += 1
                await store.put(
                    'servers/i-33333333',
                    parts.make_entry(
                        'ledger-api', (parts.HOST, port), sequence=sequence
                    ),
                )
                await asyncio.sleep(parts.HEARTBEAT_S)

        background.append(asyncio.create_task(beat()))
        background += [asyncio.create_task(one.beat()) for one in replicas]
        await store.put(
            'op/config',
            parts.make_config(
                [
                    parts.make_route(
                        'bal-read',
                        '/lohu930/',
                        'ledger-api',
                        'idempotent',
                        TimeoutMs=1000,
                        TargetLatencyMs=100,
                    )
                ],
                [
                    {
                        'Name': 'ledger-api',
                        'MaxConnections': 96,
                        'HealthPath': '/health',
                    }
                ],
            ),
        )
        entry.start()
        if not await parts.wait_ready(entry):
            raise RuntimeError('the entry does not become ready')
        background.append(asyncio.create_task(ask_ready(entry, record)))
        outcomes = []
        await send_requests(entry, record, outcomes)
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
        if third.returncode is None:
            third.kill()
            await third.wait()
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
    if sys.argv[1:2] == ['replica']:
        serve_replica(sys.argv[2], float(sys.argv[3]))
    else:
        parts.run_case(run, HERE)
