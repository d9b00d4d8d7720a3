"""Logs never block the process and say what they left out."""

import json
import os

from gorsefall import logs


def test_a_reader_that_stalls_blocks_nothing():
    """Process that stands still.

    Symptom: every request of an entry hangs at once. Sequence: whoever reads
    its output stops reading, the pipe fills. Cause: a blocking write.
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
    left_out = [ln for ln in lines if ln['event'] == 'log_left_out']
    assert left_out and left_out[0]['lines'] > 1000
    assert lines[-1]['event'].startswith('x')
    os.close(recv)
    writer.msg(line)
    os.close(send)
