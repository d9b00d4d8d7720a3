"""A replica: runs requests, and writes what it does to a log file.

Usage: replica.py ID HOST:PORT LOG OPTIONS, the last as JSON:
    events, gap_s        length of a stream and the pause between its events
    work_s, size, pieces an answer that is no stream: time, bytes, pieces
    framing              "chunked", "length" or "close" (it ends with the channel)
    hang_share           between SIGUSR1 and SIGUSR2 it reads this share of the
                         requests and says nothing
    endless_share        between these signals this share of the streams gets
                         bytes without end, and no event, until the channel closes
    endless              the bytes, repeated
"""

import json
import os
import random
import signal
import socket
import sys
import threading
import time

NAME, ADDR, LOG = sys.argv[1:4]
OPT = {'events': 40, 'gap_s': 0.05, 'work_s': 0.02, 'size': 800, 'pieces': 1,
       'framing': 'chunked', 'hang_share': 0.0,
       'endless_share': 0.0, 'endless': 'x'} | json.loads(sys.argv[4])
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
troubled = threading.Event()
log = os.open(LOG, os.O_WRONLY | os.O_CREAT | os.O_APPEND)


def say(**what):
    what['at'] = time.monotonic()
    os.write(log, (json.dumps(what) + '\n').encode())


def answer(sock, status, fields, body=b''):
    head = f'HTTP/1.1 {status} X\r\n' + ''.join(f'{k}: {v}\r\n'
                                                for k, v in fields)
    sock.sendall(head.encode() + b'Content-Length: %d\r\n\r\n' % len(body) +
                 body)


class Gone(Exception):
    """The caller has closed the channel."""


def left(sock):
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b''
    except BlockingIOError:
        return False
    except OSError:
        return True


def pause(sock, s):
    end = time.monotonic() + s
    while (rest := end - time.monotonic()) > 0:
        time.sleep(min(rest, 0.02))
        if left(sock):
            raise Gone


def run(sock, target, h, body):
    """Runs a request; returns whether the channel stays open."""
    rid = h['attempt-id']
    say(run=rid, target=target, headers=h, size=len(body), resumed=h.get('last-event-id'))
    if troubled.is_set() and random.random() < OPT['hang_share']:
        pause(sock, 3600)
    close = OPT['framing'] == 'close'
    fields = [('Attempt-Id', rid), ('Replica-Seal', SEAL)]
    if close:
        fields.append(('Connection', 'close'))
    if 'token-count' in h:
        fields.append(('Content-Type', 'text/event-stream'))
        if not close:
            fields.append(('Transfer-Encoding', 'chunked'))
        head = 'HTTP/1.1 200 OK\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in fields)
        pause(sock, OPT['work_s'])
        sock.sendall(head.encode() + b'\r\n')
        if troubled.is_set() and random.random() < OPT['endless_share']:
            say(endless=rid)
            piece = (OPT['endless'] * 65536)[:65536].encode()
            while True:
                sock.sendall(piece if close else b'%x\r\n%s\r\n' %
                             (len(piece), piece))
        first = int(h.get('last-event-id', 0)) + 1
        for i in range(first, OPT['events'] + 1):
            event = b'id: %d\ndata: %s piece %d\n\n' % (i, rid.encode(), i)
            sock.sendall(event if close else b'%x\r\n%s\r\n' %
                         (len(event), event))
            pause(sock, OPT['gap_s'])
        if not close:
            sock.sendall(b'0\r\n\r\n')
    else:
        data = (rid.encode() + b'.') * (OPT['size'] // (len(rid) + 1) + 1)
        data = data[:OPT['size']]
        pause(sock, OPT['work_s'])
        if not close:
            fields.append(('Content-Length', len(data)))
        head = 'HTTP/1.1 200 OK\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in fields)
        sock.sendall(head.encode() + b'\r\n')
        step = -(-len(data) // OPT['pieces'])
        for i in range(0, len(data), step):
            sock.sendall(data[i:i + step])
            if i + step < len(data):
                pause(sock, OPT['gap_s'])
    say(done=rid)
    return not close


def serve(sock):
    f = sock.makefile('rb')
    try:
        while True:
            line = f.readline()
            if not line.strip():
                return
            method, target, _ = line.decode().split(' ', 2)
            h = {}
            while (x := f.readline()).strip():
                k, _, v = x.decode('latin-1').partition(':')
                h.setdefault(k.strip().lower(), v.strip())
            body = f.read(int(h.get('content-length', 0)))
            if target == '/health':
                answer(sock, 200, [('Replica-Id', NAME)])
            elif 'attempt-id' not in h:
                answer(sock, 400, [('Not-Executed', '1')])
            elif h.get('expect-replica', NAME) != NAME:
                answer(sock, 421, [('Attempt-Id', h['attempt-id'])])
            elif 'kv-from' in h:
                # It keeps no copies.
                answer(sock, 503, [('Attempt-Id', h['attempt-id']),
                                   ('Not-Executed', '1')])
            elif not run(sock, f'{method} {target}', h, body):
                return
    except (OSError, Gone) as exc:
        say(broken=type(exc).__name__)
    finally:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()


def main():
    signal.signal(signal.SIGTERM, lambda *a: os._exit(0))
    signal.signal(signal.SIGUSR1, lambda *a: troubled.set())
    signal.signal(signal.SIGUSR2, lambda *a: troubled.clear())
    host, port = ADDR.rsplit(':', 1)
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, int(port)))
    server.listen(256)
    while True:
        sock, _ = server.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
