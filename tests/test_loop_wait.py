"""How long the event loop lets what is due wait is measured."""

import time

import peers
from gorsefall import metrics

BLOCK_S = 0.2


def test_a_handler_that_blocks_the_loop_shows_as_a_wait():
    """Nobody sees that requests wait for the entry itself."""
    ran = []
    with peers.loop() as loop:
        loop.call_later(0.0, lambda: time.sleep(BLOCK_S))
        loop.call_later(BLOCK_S / 2, lambda: ran.append(True))
        peers.run(loop, lambda: ran)
    assert BLOCK_S / 3 <= loop.longest_wait_s


def test_memory_and_wait_are_on_the_metrics_page():
    """An entry that is short of memory or of time looks like a sound one."""
    page, _ = metrics.render()
    for name in (b'gorsefall_resident_bytes', b'gorsefall_loop_wait_seconds',
                 b'gorsefall_memory_held_bytes',
                 b'gorsefall_memory_room_bytes'):
        assert name in page
