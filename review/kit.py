"""Stand-ins of the platform's store, runners and clients, and the start of gateways.

Plain Python without any package. Every address is a loopback address.
"""

import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "mimosapass")
TEMPLATE = os.path.join(ROOT, "deploy", "gateway.yaml")


class CannotRun(Exception):
    """The case could not run: nothing is said of the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            return False
        self.buffer += data
        return True

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self._fill():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self._fill():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Returns the first line and the headers, or None at the end of the connection."""
        first = self.line()
        if first is None:
            return None
        headers = []
        while True:
            line = self.line()
            if line is None:
                return None
            if not line:
                break
            name, _, value = line.partition(b":")
            headers.append((name.decode().strip().lower(), value.decode("latin-1").strip()))
        return first.decode("latin-1"), headers

    def body(self, headers):
        """Returns the body of a message with a length or in chunks; None if it is cut."""
        get = dict(headers).get
        if get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = self.line()
                if line is None:
                    return None
                size = int(line.split(b";")[0], 16)
                if size == 0:
                    while True:
                        line = self.line()
                        if line is None:
                            return None
                        if not line:
                            return body
                part = self.exactly(size)
                if part is None or self.exactly(2) is None:
                    return None
                body += part
        return self.exactly(int(get("content-length", "0")))


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key == name:
                return value
        return default


def serve(address, handle, backlog=256):
    """Calls `handle(sock)` on a thread for each connection; returns the listener."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)

    def work(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except OSError:
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=work, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    sock.close()


def free_port(ips):
    """Returns a port that is free at all of the addresses."""
    for _ in range(200):
        port = random.randint(20000, 31000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CannotRun("no free port")


# --- the platform's store -----------------------------------------------------------------


class Store:
    """The platform's metadata store, with any number of endpoints.

    `fault(endpoint, path)` may return a status with which a call is refused, or "hang".
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.numbers = itertools.count(501)
        self.fault = lambda endpoint, path: None
        threading.Thread(target=self._expire, daemon=True).start()

    def endpoint(self, ip, port, name):
        return serve((ip, port), lambda sock: self._connection(sock, name))

    def _expire(self):
        while True:
            time.sleep(0.1)
            with self.lock:
                now = time.monotonic()
                for lease in [i for i, (end, _) in self.leases.items() if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)
        return True

    def _set(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.lock.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.lock.notify_all()

    def put(self, key, value):
        """What the operator or a runner writes; the return is the acknowledgement."""
        with self.lock:
            self._set(key, json.dumps(value).encode())

    def remove(self, key):
        with self.lock:
            self._remove(key)

    def _connection(self, sock, name):
        reader = Reader(sock)
        while True:
            head = reader.head()
            if head is None:
                return
            body = reader.body(head[1])
            if body is None:
                return
            method, target, _ = head[0].split(" ")
            url = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
            fault = self.fault(name, url.path)
            if fault == "hang":
                time.sleep(60)
                return
            if fault is not None:
                status, answer = fault, {}
            else:
                status, answer = self._call(method, url.path, query, body)
            data = json.dumps(answer).encode()
            sock.sendall(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def _call(self, method, path, query, body):
        with self.lock:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, at=self.revision)) if item else (404, {})
            if path == "/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[k] for k in keys[:500]]
                return 200, {"entries": page, "truncated": len(keys) > 500, "at": self.revision}
            if path == "/kv-watch":
                prefix, after = query.get("prefix", ""), int(query["after"])
                end = time.monotonic() + int(query["wait_ms"]) / 1000

                def found():
                    events = reversed(self.events)
                    newer = itertools.takewhile(lambda e: e["revision"] > after, events)
                    return [e for e in newer if e["key"].startswith(prefix)][::-1]

                while not found() and time.monotonic() < end:
                    self.lock.wait(max(0.001, end - time.monotonic()))
                return 200, {"events": found(), "at": self.revision}
            data = json.loads(body) if body else {}
            if path == "/kv-txn":
                current = [(row, self.items.get(row["key"])) for row in data["expected"]]
                if any((i["revision"] if i else 0) != row["revision"] for row, i in current):
                    return 412, {"entries": [i for _, i in current if i]}
                keys = [row["key"] for row in data["set_keys"]] + list(data["remove"])
                if any(k.startswith(("op/", "servers/")) for k in keys):
                    return 403, {}
                leases = [row.get("lease", 0) for row in data["set_keys"]]
                if any(lease and lease not in self.leases for lease in leases):
                    return 404, {}
                for row in data["set_keys"]:
                    self._set(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                for key in data["remove"]:
                    self._remove(key)
                return 200, {"revision": self.revision}
            if path == "/kv-lease":
                lease, ttl = next(self.numbers), data["ttl_ms"]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttl_ms": ttl}
            number = int(path.rsplit("/", 1)[1])
            if path.startswith("/kv-keep/"):
                if number not in self.leases:
                    return 404, {}
                ttl = self.leases[number][1]
                self.leases[number] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl_ms": ttl}
            if path.startswith("/kv-lease-end/"):
                return (200, {}) if self._end_lease(number) else (404, {})
            return 404, {}


# --- runners ------------------------------------------------------------------------------


class Runner:
    """A runner: checks X-Expect-Instance and calls `run(runner, sock, request)`.

    `run` sends the answer itself and returns whether the connection is kept.
    """

    def __init__(self, store, ident, service, ip, port, zone, run, slots=16, order=None):
        self.store, self.id, self.service = store, ident, service
        self.address, self.zone, self.slots = f"{ip}:{port}", zone, slots
        self.run, self.order = run, order
        self.state, self.seq, self.alive = "ready", 0, True
        self.listener = serve((ip, port), self._connection)
        self.register()

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "phase": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq})

    def _connection(self, sock):
        reader = Reader(sock)
        while True:
            head = reader.head()
            if head is None:
                return
            body = reader.body(head[1])
            if body is None:
                return
            request = Message(head[0], head[1], body)
            expected = request.get("x-expect-instance")
            path = request.first.split(" ")[1]
            if expected is not None and expected != self.id:
                self.answer(sock, request, 421, b"", [("X-Instance-Id", self.id)], sealed=False)
            elif path == "/order" and self.order is not None:
                if not self.order(self, sock, request):
                    return
            elif not self.run(self, sock, request):
                return

    def answer(self, sock, request, status, body, more=(), sealed=True):
        """Sends a whole answer with a length."""
        headers = [("X-Attempt-Id", request.get("x-attempt-id", ""))]
        if sealed:
            headers.append(("X-Server-Seal", f"{self.id}.{len(body)}.5ea1"))
        headers += [*more, ("Content-Length", str(len(body)))]
        text = "".join(f"{name}: {value}\r\n" for name, value in headers)
        sock.sendall(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)


# --- clients ------------------------------------------------------------------------------


def request_bytes(method, path, host, headers, body=b""):
    text = "".join(f"{name}: {value}\r\n" for name, value in headers)
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{text}{length}\r\n".encode() + body


def ask(address, method, path, host, headers, body=b"", timeout=15.0):
    """Sends one request on a new connection; returns the answer, or a text for none."""
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.settimeout(timeout)
            sock.sendall(request_bytes(method, path, host, headers, body))
            reader = Reader(sock)
            head = reader.head()
            if head is None:
                return "closed without an answer"
            whole = reader.body(head[1])
            if whole is None:
                return f"answer cut: {head[0]}"
            return Message(head[0], head[1], whole)
    except OSError as error:
        return f"no answer: {error}"


def status(answer):
    return answer if isinstance(answer, str) else int(answer.first.split(" ")[1])


# --- gateways -----------------------------------------------------------------------------


def render(template, fields):
    """Fills in the placeholders of the deploy template that this project uses."""

    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(found):
        entries = lookup(found.group(1))
        texts = [found.group(2).replace("{{.}}", str(e)).replace("{{,}}", "") for e in entries]
        return ",".join(texts)

    text = re.sub(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: str(lookup(m.group(1))), text)


class Fleet:
    """A store, and the gateways of a small deployment; ends all that it started."""

    def __init__(self, folder, zones=("zapad-a",), bounds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the programs first: cargo build --release")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        base = random.randint(2, 250)
        self.ips = [f"127.{base}.{n}.1" for n in range(1, len(zones) + 1)]
        self.zones = list(zones)
        self.store_ip = f"127.{base}.200.1"
        self.runner_ip = f"127.{base}.201.1"
        every = self.ips + [self.store_ip, self.runner_ip]
        self.ports = {name: free_port(every) for name in
                      ("frontend", "readiness", "control_plane", "peers", "metrics", "store")}
        self.store = Store()
        self.processes = {}
        self.logs = {}
        self.bounds = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100,
                       "retry_window_s": 10, **(bounds or {})}
        for number in range(len(zones)):
            ip = f"127.{base}.200.{number + 10}"
            self.store.endpoint(ip, self.ports["store"], number)
        self.base = base

    def frontend(self, number):
        return (self.ips[number], self.ports["frontend"])

    def settings(self, number):
        ip, ports = self.ips[number], self.ports
        listen = {n: f"{ip}:{ports[n]}" for n in ("frontend", "readiness", "control_plane")}
        fields = {
            "node_name": f"edge-{self.zones[number]}-{number + 1}", "zone": self.zones[number],
            "ip": ip, "listen": listen, "port_range": [ports["peers"], ports["metrics"]],
            "platform": {"address": f"127.{self.base}.200.{number + 10}:{ports['store']}"},
            "seeds": [f"{other}:{ports['control_plane']}" for other in self.ips[:3]],
            "bounds": self.bounds, "limits": {"memory_mb": 260, "cpu_share": 0.25},
        }
        path = os.path.join(self.folder, f"boot-{number}.conf")
        with open(TEMPLATE, encoding="utf-8") as source, open(path, "w", encoding="utf-8") as to:
            to.write(render(source.read(), fields))
        return path

    def start(self, number):
        log = open(os.path.join(self.folder, f"gateway-{number}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        process = subprocess.Popen(
            [PROGRAM, "gateway", "--config", self.settings(number)], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes[number] = process
        self.logs[number] = log.name
        self.record.write(f"gateway {number} started")
        return process

    def signal(self, number, which):
        self.record.write(f"gateway {number} gets {signal.Signals(which).name}")
        self.processes[number].send_signal(which)

    def kill(self, number):
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait()

    def ready(self, number, limit=10.0):
        end = time.monotonic() + limit
        address = (self.ips[number], self.ports["readiness"])
        while time.monotonic() < end:
            if status(ask(address, "GET", "/readyz", "ready", [], timeout=1.0)) == 200:
                return
            time.sleep(0.05)
        raise CannotRun(f"gateway {number} is not ready")

    def runner_port(self):
        return free_port([self.runner_ip])

    def log_lines(self, number, text):
        with open(self.logs[number], encoding="utf-8", errors="replace") as log:
            return [line.rstrip() for line in log if text in line]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


VERDICTS = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}


def main(folder, case, **options):
    """Runs `case(fleet, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet, code = None, 2

    def ended(number, _frame):
        raise CannotRun(f"ended by {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended)
    try:
        fleet = Fleet(folder, **options)
        code = 0 if case(fleet, trouble) else 1
    except Exception:  # Whatever fails here says nothing of the rule.
        traceback.print_exc()
    if fleet is not None:
        fleet.stop()
        fleet.record.write(f"verdict: {VERDICTS[code]}")
    print(VERDICTS[code], flush=True)
    os._exit(code)
