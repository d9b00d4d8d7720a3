"""Logging never blocks the process, and dropped lines are reported."""

import json
import os

from gorsefall import logs


def test_a_stalled_reader_does_not_block():
    """A log reader that stops reading must not stop the process.

    With a blocking write to the full pipe, all requests of the entry would
    hang at once.
    """
    recv, send = os.pipe()
    writer = logs.BoundedWriter(send)
    line = json.dumps({'event': 'x' * 200})
    for _ in range(20000):
        writer.msg(line)
    assert writer.dropped_lines > 0
    os.set_blocking(recv, False)
    got = bytearray()

    def drain():
        while True:
            try:
                data = os.read(recv, 1 << 20)
            except BlockingIOError:
                return
            got.extend(data)

    for _ in range(200):
        drain()
        writer.msg(line)
    drain()
    lines = [json.loads(ln) for ln in got.splitlines()]
    dropped = [ln for ln in lines if ln['event'] == 'log_left_out']
    assert dropped and dropped[0]['lines'] > 1000
    assert lines[-1]['event'].startswith('x')
    os.close(recv)
    writer.msg(line)
    os.close(send)
