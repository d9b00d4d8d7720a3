"""Measures what an entry spends on the messages between entries.

Usage: python bench/peers_cost.py

Sends messages over loopback from one socket to another. For several numbers of
entries and replicas it prints the size of a message and the CPU time to build
one, and to send and record one.
"""

import socket
import time

from gorsefall.policy import entrystatus
from gorsefall.policy import knowledge
from gorsefall.policy import peerview
from gorsefall.policy import prompts
from gorsefall.relay import messages
from gorsefall.relay import peers

SIZES = ((9, 5, 4, 2), (87, 56, 3, 2), (350, 1800, 16, 6))
"""Entries, replicas, replicas at which one entry has work in flight, and prompt
uses in a message. The first two rows are the deployments of 9 and 87 entries,
the third is the size planned for in two years, where an entry gets 16 requests
per second that take one second each."""

MESSAGE_COUNT = 4000
"""Messages per measurement, which takes about 0.2 s."""

FIRST_ATTEMPTS = {'model-desk': 27, 'records-desk': 9}
"""First attempts of one entry in the retry window, by service."""


def _view(name, replicas):
    """Returns the view of an entry and its replicas by name."""
    replica_views = {
        f'i-{i:010x}':
            knowledge.ReplicaView(f'i-{i:010x}', 'z', slots=64, engine=True)
        for i in range(replicas)
    }
    return peerview.PeerView(name, replica_views.get), replica_views


def _measure(entries, replicas, busy, uses):
    """Returns message bytes, build ms, and send and record ms per message."""
    sending_view, replica_views = _view('edge-zone-a-1', replicas)
    receiving_view, _ = _view('edge-zone-a-2', replicas)
    for i in range(entries - 2):
        receiving_view.record_status(f'10.1.{i // 250}.{i % 250}',
                                     entrystatus.Status(f'edge-{i}', 1, 1), 0.0)
    parts = (prompts.Part('5c1e07a2', 2520), prompts.Part('91bd3f06', 3780))
    for i, replica_view in enumerate(list(replica_views.values())[:busy]):
        replica_view.record_sent(2900)
        if i < uses:
            sending_view.record_prompt(replica_view, parts, 0.0)
    hosts = [f'10.1.0.{i}' for i in range(peers.MAX_HOSTS_PER_MESSAGE)]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(('127.0.0.1', 0))
    addr = receiver.getsockname()
    build_s = transfer_s = 0.0
    for seq in range(MESSAGE_COUNT):
        start = time.process_time()
        data = messages.encode(
            sending_view.build_status(1,
                                      seq,
                                      replica_views.values(),
                                      0.0,
                                      first_attempts=FIRST_ATTEMPTS,
                                      known_hosts=hosts))
        built = time.process_time()
        sender.sendto(data, addr)
        receiving_view.record_status('10.9.9.9',
                                     messages.decode(receiver.recv(65536)), 0.0)
        build_s += built - start
        transfer_s += time.process_time() - built
    sender.close()
    receiver.close()
    return (len(data), build_s * 1000 / MESSAGE_COUNT,
            transfer_s * 1000 / MESSAGE_COUNT)


def main():
    """Prints a row for each size."""
    print('entries replicas bytes build_ms transfer_ms pause_s KB_per_s '
          'core_share')
    for entries, replicas, busy, uses in SIZES:
        size, build_ms, transfer_ms = _measure(entries, replicas, busy, uses)
        others = entries - 1
        pause_s = max(peers.MIN_PAUSE_S, others / peers.MAX_MESSAGES_PER_S)
        share = (build_ms + others * transfer_ms) / pause_s / 1000
        print(entries, replicas, size, round(build_ms, 4),
              round(transfer_ms, 4), round(pause_s, 2),
              round(others / pause_s * size / 1000, 1), f'{share:.2%}')


if __name__ == '__main__':
    main()
