"""Workers that answer with streams of events, and clients that take such a stream up again."""
import socket
import threading
import time

import fleet as f

EVENTS = 60        # of each stream
GAP_S = 0.1        # between two events
DEADLINE_S = 15.0
TRIES = 6          # of a client to take its stream up
WAIT_S = 0.5       # between two tries, at least; longer if Retry-After says so
OBJECTIVE_MS, PAUSE_MS = 500, 200
# A client gives a stream up after the longest of two seconds, four times the objective and eight
# times the pause.
SILENCE_S = max(2.0, 4 * OBJECTIVE_MS / 1000, 8 * PAUSE_MS / 1000)


def serve(worker, connection, request):
    ident = request["fields"]["attempt-id"]
    first = int(request["fields"].get("last-event-id", 0)) + 1
    worker.fleet.record.add("worker %s (%s) runs %s from event %d" % (worker.id, worker.version,
                                                                      ident, first))
    connection.sendall(worker.head(request, Content_Type="text/event-stream",
                                   Transfer_Encoding="chunked"))
    for number in range(first, EVENTS + 1):
        event = ("id: %d\ndata: %s\n\n" % (number, worker.version)).encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(GAP_S)
    connection.sendall(b"0\r\n\r\n")
    return True


def configuration():
    """One resumable route for streams to one service with an engine."""
    llm = f.service("llm")
    llm["engine"] = {"slots": 64, "memory_tokens": 232000, "event_tokens": 3, "event_calls": 12,
                     "copies": True}
    return f.configuration(1, [f.route("explain", "/explain/", "llm", kind="stream", attempts=2,
                                       objective_ms=OBJECTIVE_MS, pause_ms=PAUSE_MS,
                                       affinity=True, resumable=True)], [llm])


def workers(fleet):
    """Three workers of the first software version, one in each zone."""
    for zone in fleet.ZONES:
        f.Worker(fleet, "llm", serve, zone=zone, version="v1")


class Client:
    """One client with one stream."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.events, self.versions = [], set()
        self.first_id = None  # of the attempt that brought the first event
        self.end = time.monotonic() + DEADLINE_S
        self.taken_up = self.went_on = False

    def _fields(self):
        fields = {"Model": "m", "Token_Usage": "700,%d" % (3 * EVENTS),
                  "Prompt_Prefix": "a1:200,%x:500" % (0x1000 + self.number)}
        if self.events:
            fields.update(Last_Event_Id=str(self.events[-1]), Resumes=self.first_id)
            self.taken_up = True
        return fields

    def _read(self, reader, ident):
        while True:
            text = reader.readline()
            if text == b"0\r\n":
                return
            if not text:
                raise OSError("the connection ended")
            if text.startswith(b"id: "):
                self.events.append(int(text[4:]))
                self.first_id = self.first_id or ident
            elif text.startswith(b"data: "):
                self.versions.add(text[6:].decode().strip())

    def attempt(self, machine):
        """One attempt; returns how it ended and the seconds of Retry-After."""
        ident, before = f.new_id(), len(self.events)
        left = int((self.end - time.monotonic()) * 1000)
        s = socket.socket()
        s.settimeout(1.0)
        try:
            s.connect(machine.at("front"))
            s.settimeout(SILENCE_S)
            self.fleet.record.add("client %d sends %s to %s%s" % (
                self.number, ident, machine.ip, ", to go on after event %d of %s" % (
                    self.events[-1], self.first_id) if self.events else ""))
            s.sendall(f.request_bytes("POST", "/explain/", ident, left, b"x", **self._fields()))
            reader = s.makefile("rb")
            line, head = f.read_head(reader)
            if line.split()[1] != "200":
                self.fleet.record.add("client %d gets %s: %s" % (self.number, ident, line))
                return line.split()[1], float(head.get("retry-after", 0))
            self._read(reader, ident)
            return "whole" if self.events[-1] == EVENTS else "ended early", 0
        except (OSError, TypeError) as error:
            self.fleet.record.add("client %d: %s is silent or ends after event %d: %s" % (
                self.number, ident, self.events[-1] if self.events else 0, error))
            return "broken", 0
        finally:
            self.went_on = self.went_on or 0 < before < len(self.events)
            s.close()

    def run(self, first, others):
        end, wait = self.attempt(first)
        for number in range(TRIES):
            if end == "whole" or time.monotonic() > self.end - WAIT_S:
                break
            time.sleep(max(wait, WAIT_S) if number else 0)
            end, wait = self.attempt(others[(self.number + number) % len(others)])
        self.fleet.record.add("client %d: %d events, %s, versions %s" % (
            self.number, len(self.events), end, sorted(self.versions)))


def start(clients, machines, others):
    """Each client sends its request to one of `machines`, and goes on at one of `others`."""
    threads = [threading.Thread(target=c.run, args=(machines[i % len(machines)], others))
               for i, c in enumerate(clients)]
    for t in threads:
        t.start()
    return threads
