"""Measures what the messages between entries cost one of them.

Usage: python bench/peers_cost.py

Speaks over loopback from one socket to another: bytes of a message, and
processor time to make one, and to send and take in one, for several numbers
of entries and of replicas at which each has work.
"""

import socket
import time

from gorsefall.policy import knowledge
from gorsefall.policy import membership
from gorsefall.policy import peerview
from gorsefall.policy import prompts
from gorsefall.relay import messages
from gorsefall.relay import peers

SIZES = ((9, 5, 4, 2), (87, 56, 3, 2), (350, 1800, 16, 6))
"""Entries; replicas; those at which one entry has work; uses in a message: as
on the deployments of 9 and 87 entries, and at the size of two years hence,
where an entry has 16 requests a second that take a second."""

MESSAGES_PER_SIZE = 4000
"""Messages of a measurement: some 0.2 s."""

FIRST_ATTEMPTS = {'model-desk': 27, 'records-desk': 9}
"""Requests of one entry in the retry window, by service."""


def _view(name, replicas):
    targets = {
        f'i-{i:010x}':
            knowledge.ReplicaView(f'i-{i:010x}', 'z', slots=64, engine=True)
        for i in range(replicas)
    }
    return peerview.PeerView(name, targets.get), targets


def _measure(entries, replicas, busy, uses):
    speaker, targets = _view('edge-zone-a-1', replicas)
    hearer, _ = _view('edge-zone-a-2', replicas)
    for i in range(entries - 2):
        hearer.record_status(f'10.1.{i // 250}.{i % 250}',
                             membership.Status(f'edge-{i}', 1, 1), 0.0)
    parts = (prompts.Part('5c1e07a2', 2520), prompts.Part('91bd3f06', 3780))
    for i, target in enumerate(list(targets.values())[:busy]):
        target.record_sent(2900)
        if i < uses:
            speaker.record_prompt(target, parts, 0.0)
    hosts = [f'10.1.0.{i}' for i in range(peers.MAX_HOSTS_PER_MESSAGE)]
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(('127.0.0.1', 0))
    addr = receiver.getsockname()
    making = sending = 0.0
    for seq in range(MESSAGES_PER_SIZE):
        began = time.process_time()
        data = messages.encode(
            speaker.build_status(1,
                                 seq,
                                 targets.values(),
                                 0.0,
                                 first_attempts=FIRST_ATTEMPTS,
                                 known_hosts=hosts))
        made = time.process_time()
        sender.sendto(data, addr)
        hearer.record_status('10.9.9.9', messages.decode(receiver.recv(65536)),
                             0.0)
        making += made - began
        sending += time.process_time() - made
    sender.close()
    receiver.close()
    return len(
        data
    ), making * 1000 / MESSAGES_PER_SIZE, sending * 1000 / MESSAGES_PER_SIZE


def main():
    """Prints a row for each size."""
    print('entries replicas bytes make_ms send_and_hear_ms pause_s KB_a_second '
          'core_share')
    for entries, replicas, busy, uses in SIZES:
        size, make_ms, each_ms = _measure(entries, replicas, busy, uses)
        others = entries - 1
        pause_s = max(peers.MIN_PAUSE_S, others / peers.MAX_MESSAGES_PER_S)
        share = (make_ms + others * each_ms) / pause_s / 1000
        print(entries, replicas, size, round(make_ms, 4), round(each_ms, 4),
              round(pause_s, 2), round(others / pause_s * size / 1000, 1),
              f'{share:.2%}')


if __name__ == '__main__':
    main()
