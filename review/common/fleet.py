"""A small deployment on loopback addresses: the programs of deploy/system.toml as separate
processes, with settings from the templates of that file, and stand-ins for the platform, the
operator, workers and clients. Only the standard library is used."""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {"budgetSlack": 58, "graceS": 8}
LIMITS = {"maxFds": 4100, "memoryMb": 110}


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock:
            self.file.write("%9.3f  %s\n" % (self.now(), text))


def fill(template, values):
    """Fills a settings template as DEPLOY.md tells it, as far as the project's templates use it."""

    def value(match):
        at = values
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        if isinstance(at, bool):
            return "true" if at else "false"
        return ",".join(at) if isinstance(at, list) else str(at)

    return re.sub(r"\{\{([A-Za-z_.0-9]+)\}\}", value, template)


def free_network(machines):
    """The first three bytes of loopback addresses on which all ports of the machines are free."""
    for _ in range(200):
        net = "127.%d.%d" % (random.randint(2, 250), random.randint(1, 250))
        try:
            for i in range(machines):
                for port in PORTS.values():
                    with socket.socket() as s:
                        s.bind(("%s.%d" % (net, i + 1), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


PORTS = {"front": 18783, "ready": 18780, "control": 18785, "directory": 18789, "first": 17400,
         "operators": 17414, "last": 17415}


class Machine:
    """One machine of the deployment: an entry process and, with a disk, a replica."""

    def __init__(self, fleet, number, zone, disk):
        self.fleet, self.number, self.zone, self.disk = fleet, number, zone, disk
        self.ip = "%s.%d" % (fleet.net, number)
        self.processes = {}
        self.started_before = False

    def at(self, what):
        return (self.ip, PORTS[what])

    def address(self, what):
        return "%s:%d" % self.at(what)

    def settings(self):
        return {"ip": self.ip, "data_centre": self.zone, "seeds": self.fleet.seeds(),
                "bootstrap": not self.started_before,
                "portRange": [PORTS["first"], PORTS["last"]],
                "listen": {k: self.address(k) for k in ("front", "ready", "control", "directory")},
                "dataDir": os.path.join(self.fleet.folder, "data-%d" % self.number)
                if self.disk else "",
                "faultTolerance": {"machines": 1}, "bounds": BOUNDS, "limits": LIMITS}

    def start(self, role):
        spec = self.fleet.system["roles"][role]
        with open(os.path.join(ROOT, spec["template"])) as f:
            text = fill(f.read(), self.settings())
        # Each machine has a 127.0.0.1 of its own; here all share one.
        text = text.replace("127.0.0.1:%d" % PORTS["last"], "%s:%d" % (self.ip, PORTS["operators"]))
        path = os.path.join(self.fleet.folder, "%s-%d.ini" % (role, self.number))
        with open(path, "w") as f:
            f.write(text)
        words = [path if w == "/etc/walnutgate/node.toml" else w for w in spec["run"].split()]
        log = open(os.path.join(self.fleet.folder, "%s-%d.log" % (role, self.number)), "a")
        try:
            self.processes[role] = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                                    stdin=subprocess.DEVNULL)
        except OSError as error:
            raise CannotRun("cannot start %s: %s" % (words[0], error)) from error
        finally:
            log.close()

    def start_all(self):
        if self.disk:
            self.start("replica")
        self.start("entry")
        self.started_before = True

    def freeze(self):
        for role in self.processes:
            self.signal(role, signal.SIGSTOP)
        self.fleet.record.add("%s freezes" % self.ip)

    def thaw(self):
        for role in self.processes:
            self.signal(role, signal.SIGCONT)
        self.fleet.record.add("%s goes on" % self.ip)

    def signal(self, role, number):
        process = self.processes.get(role)
        if process and process.poll() is None:
            process.send_signal(number)

    def log(self, role):
        with open(os.path.join(self.fleet.folder, "%s-%d.log" % (role, self.number))) as f:
            return f.read()


class Fleet:
    """`disks`: machines with a disk; `plain`: machines without; three zones in turn."""

    ZONES = ("plateau", "mermoz", "rufisque")

    def __init__(self, folder, disks=3, plain=0):
        self.record = Record(folder)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.system = tomllib.load(f)
        if not os.path.exists(os.path.join(ROOT, self.system["roles"]["entry"]["run"].split()[0])):
            raise CannotRun("the programs are not built: run the deploy file's build first")
        self.folder = tempfile.mkdtemp(prefix="walnutgate-review-")
        self.net = free_network(disks + plain)
        self.machines = [Machine(self, i + 1, self.ZONES[i % len(self.ZONES)], i < disks)
                         for i in range(disks + plain)]
        self.workers = []
        self.version = 0

    def seeds(self):
        return [m.address("control") for m in self.machines if m.disk][:3]

    def start(self):
        for m in self.machines:
            m.start_all()

    def close(self, keep=False):
        for w in self.workers:
            w.close()
        for m in self.machines:
            for process in m.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for m in self.machines:
            for process in m.processes.values():
                process.wait()
        if keep:
            print("logs are kept in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, machine, what, method, path, body=None, timeout=1.0):
        """One call to an interface of the system; (0, b"") without an answer in time."""
        connection = http.client.HTTPConnection(*machine.at(what), timeout=timeout)
        try:
            connection.request(method, path, body=json.dumps(body) if body is not None else None,
                               headers={"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def until(self, what, check, limit=20.0):
        end = time.monotonic() + limit
        while not check():
            if time.monotonic() > end:
                raise CannotRun("not in time: " + what)
            time.sleep(0.05)

    def ready(self, machine):
        return self.call(machine, "ready", "GET", "/v1/ready")[0] == 200

    def put(self, config, machines=None, limit=20.0):
        """Sends a configuration as the operator does, until a machine acknowledges it."""
        self.version = config["version"]
        end = time.monotonic() + limit
        machines = list(machines or self.machines)
        while time.monotonic() < end:
            for m in machines:
                status, body = self.call(m, "control", "PUT", "/v1/configuration", config)
                self.record.add("operator: configuration %d at %s: %d" %
                                (config["version"], m.ip, status))
                if status == 200:
                    return m
                if 400 <= status < 500:
                    raise CannotRun("configuration refused: %r" % body)
            time.sleep(0.2)
        raise CannotRun("no machine took the configuration")

    def begin(self, config):
        """Starts all, sets the configuration, registers the workers and waits until ready."""
        self.start()
        self.put(config)
        for w in self.workers:
            w.start()
        for w in self.workers:
            self.until("worker registered", lambda w=w: w.acknowledged)
        for m in self.machines:
            self.until("machine ready", lambda m=m: self.ready(m))
        time.sleep(1.0)
        self.record.add("all machines are ready")


def configuration(version, routes, services, tenants=None, limits=None):
    out = {"version": version, "routes": routes, "services": services,
           "limits": {"head_bytes": 16384, "body_bytes": 4194304, "head_ms": 3000,
                      "idle_ms": 15000, "tokens_per_second": 440000}}
    out["limits"].update(limits or {})
    if tenants is not None:
        out["workspaces"] = tenants
    return out


def route(name, prefix, service, kind="unsafe", timeout_ms=15000, attempts=1, **more):
    out = {"name": name, "host": "review.example", "path_prefix": prefix, "kind": kind,
           "timeout_ms": timeout_ms, "objective_ms": 1000, "priority": 1, "service": service,
           "attempts": attempts, "open": True, "affinity": False, "resumable": False,
           "pause_ms": 200}
    out.update(more)
    return out


def service(name):
    return {"name": name, "health_path": "/healthz", "connections": 370, "protocol": "h1",
            "tls": False}


class Worker:
    """A worker that registers itself and calls `serve(worker, request)` in a thread for each
    connection; `serve` returns whether the connection goes on."""

    def __init__(self, fleet, service_name, serve, zone="plateau", slots=64, port=0, ident=None,
                 version="v1"):
        self.fleet, self.service, self.serve, self.zone = fleet, service_name, serve, zone
        self.slots, self.version = slots, version
        self.id = ident or "i-%08x" % random.getrandbits(32)
        self.seal = "%04x.%02x" % (random.getrandbits(16), len(fleet.workers))
        self.state, self.sequence, self.acknowledged = "ready", 0, False
        self.born = int(time.time() * 1000)
        self.beats_from = 0.0  # time.monotonic() before which it says nothing
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((fleet.net + ".200", port))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.address = "%s:%d" % self.listener.getsockname()
        self.closed, self.connections = False, set()
        fleet.workers.append(self)

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self):
        """Ends like a process: all connections with it."""
        self.closed = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while not self.closed:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        self.connections.add(connection)
        try:
            while not self.closed:
                request = read_request(reader)
                if not request:
                    break
                if request["path"].startswith("/api/"):
                    connection.sendall(engine_answer(request))
                    continue
                if not self.serve(self, connection, request):
                    break
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            reader.close()
            connection.close()

    def beat(self, machine):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "data_centre": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state, "cold_ms": 0,
                "born": self.born, "sequence": self.sequence}
        status = self.fleet.call(machine, "control", "PUT", "/v1/targets/" + self.id, body)[0]
        if 200 <= status < 300:
            self.acknowledged = True
        return status

    def _beat(self):
        while not self.closed:
            if time.monotonic() >= self.beats_from:
                for m in random.sample(self.fleet.machines, len(self.fleet.machines)):
                    if 200 <= self.beat(m) < 300 or self.closed:
                        break
            time.sleep(1.2 if self.acknowledged else 0.1)

    def head(self, request, status=200, reason="OK", **fields):
        """The head of an answer with the seal and the id of the request, without its end."""
        lines = ["HTTP/1.1 %d %s" % (status, reason),
                 "Attempt-Id: " + request["fields"].get("attempt-id", ""),
                 "Response-Seal: %s.%s" % (self.seal, request["fields"].get("attempt-id", ""))]
        lines += ["%s: %s" % (k.replace("_", "-"), v) for k, v in fields.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


def engine_answer(request):
    """What a worker without a cache answers to the calls that carry no request."""
    status, body = "404 Not Found", b"{}"
    if request["path"].startswith("/api/kv-list"):
        status, body = "200 OK", b'{"epoch":"1","nextPageToken":0,"held":[]}'
    return ("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
        status, len(body))).encode() + body


def read_head(reader):
    line = reader.readline(65536)
    if not line.endswith(b"\r\n"):
        return None
    fields = {}
    while True:
        field = reader.readline(65536)
        if field == b"\r\n":
            return line.decode("latin-1").strip(), fields
        if not field.endswith(b"\r\n"):
            return None
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def read_request(reader):
    head = read_head(reader)
    if not head:
        return None
    method, path, _ = head[0].split(" ")
    size = int(head[1].get("content-length", 0))
    body = reader.read(size)
    return {"method": method, "path": path, "fields": head[1], "body": body} \
        if len(body) == size else None


def request_bytes(method, path, ident, deadline_ms=15000, body=b"", **fields):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: review.example", "Attempt-Id: " + ident,
             "Deadline-Ms: %d" % deadline_ms]
    lines += ["%s: %s" % (k.replace("_", "-"), v) for k, v in fields.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_id():
    return "%016x" % random.getrandbits(64)


def run_case(folder, case, **fleet_options):
    """Runs `case(fleet, trouble)`, which returns whether the rule was broken and a sentence. Exits
    with 1 if it was, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result, text = NOT_RUN, ""
    try:
        fleet = Fleet(folder, **fleet_options)
        fleet.record.add("trouble: %s" % trouble)
        broken, text = case(fleet, trouble)
        result = BROKEN if broken else HELD
    except Exception as error:  # not a verdict on the rule, whatever it is
        text = "could not run: %r" % error
    finally:
        if fleet:
            fleet.record.add("result %d: %s" % (result, text))
            fleet.close(keep="KEEP" in os.environ)
    print(text)
    sys.exit(result)

