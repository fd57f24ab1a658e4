"""A planned stop while a caller still reads its answer."""
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import fleet as f  # noqa: E402

SIZE = 300 * 1000      # bytes of the worker's answer
RATE = 40 * 1000       # bytes a second that the caller reads
CALLERS = 3
CONTACT_S = 3.0        # contactMs: the start of the machines must not count as a disruption


def serve(worker, connection, request):
    worker.fleet.record.add("worker %s runs %s" % (worker.id, request["fields"]["attempt-id"]))
    body = request["fields"]["attempt-id"].encode() * (SIZE // 16)
    connection.sendall(worker.head(request, Content_Length=len(body)) + body)
    worker.fleet.record.add("worker %s has sent its whole answer" % worker.id)
    return True


def send(fleet, machine):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    s.settimeout(15)
    s.connect(machine.at("front"))
    ident = f.new_id()
    s.sendall(f.request_bytes("POST", "/report/", ident, body=b"x"))
    fleet.record.add("caller sends %s to %s" % (ident, machine.ip))
    return s, ident


def read_all(s, until):
    """Reads slowly to the end; returns head and body, and how the connection ended."""
    data = b""
    start = time.monotonic()
    try:
        while time.monotonic() < until:
            part = s.recv(4096)
            if not part:
                return data, "end"
            data += part
            head, _, body = data.partition(b"\r\n\r\n")
            if len(body) >= SIZE // 16 * 16:
                return data, "whole"
            ahead = len(data) / RATE - (time.monotonic() - start)
            if ahead > 0:
                time.sleep(ahead)
    except OSError as error:
        return data, str(error)
    return data, "time is up"


def case(fleet, trouble):
    f.Worker(fleet, "app", serve)
    fleet.begin(f.configuration(1, [f.route("report", "/report/", "app")], [f.service("app")]))
    machine = fleet.machines[0]
    time.sleep(CONTACT_S + 0.5)
    results = []

    def caller():
        s, ident = send(fleet, machine)
        data, end = read_all(s, time.monotonic() + 14)
        body = data.partition(b"\r\n\r\n")[2]
        whole = body == ident.encode() * (SIZE // 16)
        fleet.record.add("caller got of %s: status %s, %d of %d bytes of the body, %s" %
                         (ident, data[9:12].decode(), len(body), SIZE // 16 * 16, end))
        results.append(whole)

    threads = [threading.Thread(target=caller) for _ in range(CALLERS)]
    for t in threads:
        t.start()
    time.sleep(0.5)
    if trouble:
        fleet.record.add("SIGTERM to the entry process of %s" % machine.ip)
        machine.signal("entry", signal.SIGTERM)
    for t in threads:
        t.join()
    cut = results.count(False)
    return cut > 0, "%d of %d answers that the worker had sent whole reached their callers cut off" % (
        cut, CALLERS)


f.run_case(HERE, case)
