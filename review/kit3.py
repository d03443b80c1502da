"""Stand-ins for the cases of review 3: the platform's store, runners, clients, and a small fleet.

Everything runs on loopback, on the real clock. The store and the runners do what PROTOCOL.md
says, and nothing more; a case changes single hooks of theirs.
"""
import base64
import collections
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:8.3f} s  {text}\n")
            self.file.flush()


def free_ports(ip, count):
    """Returns ports that are free on `ip`, below the range of outgoing connections."""
    found, port = [], 20000 + os.getpid() * 37 % 8000
    while len(found) < count:
        port += 1
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
            found.append(port)
        except OSError:
            pass
    return found


def read_head(source):
    """Reads the head of a message; None at the end of the connection."""
    line = source.readline()
    if not line:
        return None
    headers = []
    while True:
        more = source.readline()
        if not more:
            return None
        more = more.decode("latin-1").rstrip("\r\n")
        if not more:
            return line.decode("latin-1").rstrip("\r\n"), headers
        name, _, value = more.partition(":")
        headers.append((name.strip().lower(), value.strip()))


def header(headers, name):
    return next((value for key, value in headers if key == name), None)


def read_body(source, headers):
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int(source.readline().split(b";")[0], 16)
            body += source.read(size)
            source.readline()
            if size == 0:
                return body
    return source.read(int(header(headers, "content-length") or 0))


RESET = struct.pack("ii", 1, 0)


class Server:
    """Serves HTTP/1.1, one thread a connection; `handle(conn, line, headers, body)` returns
    whether the connection stays open."""

    def __init__(self, ip, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.addr = "%s:%d" % self.listener.getsockname()
        self.open = True
        self.conns = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        source = conn.makefile("rb")
        self.conns.add(conn)
        try:
            while self.open:
                head = read_head(source)
                if head is None:
                    break
                body = read_body(source, head[1])
                if not self.handle(conn, head[0], head[1], body):
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.conns.discard(conn)
            source.close()
            conn.close()


def respond(conn, status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip, page=500):
        self.page = page  # most items of one page of a listing
        self.lock = threading.Condition()
        self.revision, self.items, self.log, self.leases = 10, {}, [], {}
        self.turn_away = lambda call: None  # a status for calls that are turned away
        self.calls, self.slowest = collections.Counter(), 0.0
        super().__init__(ip)

    def put(self, key, value, lease=0):
        """Writes as the operator or a runner; returns the time of the ack."""
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode())
        with self.lock:
            self.revision += 1
            old = self.items.get(key)
            item = {"key": key, "value": text.decode(), "revision": self.revision,
                    "created": old["created"] if old else self.revision, "lease": lease}
            self.items[key] = item
            self.log.append(item)
            self.lock.notify_all()
        return time.monotonic()

    def delete(self, key):
        with self.lock:
            if self.items.pop(key, None):
                self.revision += 1
                self.log.append({"key": key, "revision": self.revision, "deleted": True})
                self.lock.notify_all()
        return time.monotonic()

    def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (_, end) in self.leases.items() if end < now]
        for lease in ended:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.delete(key)

    def reply(self, conn, status, value):
        respond(conn, status, json.dumps(value).encode(), [("content-type", "application/json")])
        return True

    def handle(self, conn, line, headers, body):
        begin = time.monotonic()
        answer = self.decide(line, body)
        if answer is None:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        took = time.monotonic() - begin
        with self.lock:
            path = urllib.parse.urlsplit(line.split(" ")[1]).path.split("/")[1]
            self.calls[path, answer[0]] += 1
            if path != "kv-watch":
                self.slowest = max(self.slowest, took)
        return self.reply(conn, *answer)

    def decide(self, line, body):
        """Returns the status and the value of an answer; None to reset the connection."""
        _, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        status = self.turn_away(url.path)
        if status:
            return None if status == "reset" else (status, {})
        body = json.loads(body) if body else {}
        with self.lock:
            self.expire()
            if url.path == "/kv-key":
                item = self.items.get(query["key"])
                return 200 if item else 404, dict(item or {}, at=self.revision)
            if url.path == "/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
                keys = [k for k in keys if k > query.get("after", "")]
                entries, size = [], 0
                for key in keys[:self.page]:
                    entries.append(self.items[key])
                    size += len(self.items[key]["value"]) * 3 // 4
                    if size >= 1_000_000:
                        break
                page = {"entries": entries, "truncated": len(keys) > len(entries), "at": self.revision}
                return 200, page
            if url.path == "/kv-watch":
                after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
                while self.revision <= after and time.monotonic() < end:
                    self.lock.wait(max(0, end - time.monotonic()))
                prefix = query.get("prefix", "")
                events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
                status = self.turn_away(url.path)
                if status:
                    return None if status == "reset" else (status, {})
                return 200, {"events": events, "at": self.revision}
            if url.path == "/kv-txn":
                for row in body["expected"]:
                    have = self.items.get(row["key"], {}).get("revision", 0)
                    if have != row["revision"]:
                        return 412, {"entries": []}
                for row in body["set_keys"]:
                    if row.get("lease") and row["lease"] not in self.leases:
                        return 404, {}
                for row in body["set_keys"]:
                    self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                for key in body["remove"]:
                    self.delete(key)
                return 200, {"revision": self.revision}
            if url.path == "/kv-lease":
                self.revision += 1
                ttl = body["ttl_ms"]
                self.leases[self.revision] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease": self.revision, "ttl_ms": ttl}
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if url.path.startswith("/kv-keep/"):
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {}


class Runner(Server):
    """A runner; `answer(conn, headers, body)` runs a request and returns whether the connection
    stays open."""

    def __init__(self, store, ip, name, service, zone, record, slots=16, cold_s=0.0):
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.store, self.record = store, record
        self.seq, self.state, self.registered = 0, "ready", True
        self.cold_until = time.monotonic() + cold_s
        self.runs = []  # (time, attempt, line, headers, body)
        self.answer = self.plain
        super().__init__(ip)
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beats(self):
        while self.registered:
            time.sleep(1.2)
            if self.registered:
                self.beat()

    def beat(self):
        self.seq += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": left, "seq": self.seq})

    def crash(self):
        """Ends like a process: connections are reset, and nothing listens any more."""
        self.registered = self.open = False
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for conn in list(self.conns):
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                conn.shutdown(socket.SHUT_RDWR)
                conn.close()
            except OSError:
                pass

    def handle(self, conn, line, headers, body):
        if line.startswith("GET /healthz"):
            respond(conn, 200, b"", [("x-instance-id", self.id)])
            return True
        expected = header(headers, "x-expect-instance")
        attempt = header(headers, "x-attempt-id") or ""
        if expected and expected != self.id:
            respond(conn, 421, b"", [("x-instance-id", self.id), ("x-attempt-id", attempt)])
            return True
        self.runs.append((time.monotonic(), attempt, line, headers, body))
        self.record(f"runner {self.id} runs {attempt}: {line}")
        return self.answer(conn, headers, body)

    def plain(self, conn, headers, body):
        time.sleep(0.03)
        respond(conn, 200, f"answer of {self.id}\n".encode() * 20, self.seal(headers))
        return True

    def seal(self, headers):
        attempt = header(headers, "x-attempt-id") or ""
        return [("x-attempt-id", attempt), ("x-server-seal", f"seal-{self.id}-{attempt}")]


class Gateway:
    """One instance, started as the deploy file says."""

    def __init__(self, folder, name, zone, ip, ports, store, seeds, bounds):
        self.name, self.ip, self.ports = name, ip, ports
        text = open(os.path.join(ROOT, "deploy", "gateway.yaml")).read()
        listed = "".join(f'"{s}"' + (", " if i + 1 < len(seeds) else "") for i, s in enumerate(seeds))
        text = re.sub(r"\{\{#seeds\}\}.*\{\{/seeds\}\}", listed, text)
        values = {
            "node_name": name, "zone": zone, "ip": ip, "listen.frontend": f"{ip}:{ports[0]}",
            "listen.readiness": f"{ip}:{ports[1]}", "port_range.0": ports[2],
            "port_range.1": ports[3], "platform.address": store, "limits.memory_mb": 260,
            "limits.cpu_share": 0.25, **bounds}
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        assert "{{" not in text, text
        self.config = os.path.join(folder, name + ".yaml")
        open(self.config, "w").write(text)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None

    def start(self, first=True):
        program = os.path.join(ROOT, "target", "release", "mimosapass")
        first = "true" if first else "false"
        self.process = subprocess.Popen(
            [program, "gateway", "--config", self.config, f"--first-start={first}"],
            cwd=ROOT, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)

    def ready(self):
        try:
            return request((self.ip, self.ports[1]), "GET", "/readyz", {}, timeout=1)[0] == 200
        except OSError:
            return False

    def memory_mb(self):
        """Returns the resident memory of the process."""
        with open(f"/proc/{self.process.pid}/status") as status:
            lines = dict(line.split(":", 1) for line in status if ":" in line)
        return int(lines["VmRSS"].split()[0]) / 1024 if "VmRSS" in lines else 0

    def signal(self, number):
        os.kill(self.process.pid, number)


BOUNDS = {"bounds.grace_s": 8, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 100,
          "bounds.retry_window_s": 10}


class Fleet:
    """A store and a few gateways; `end()` ends all processes."""

    def __init__(self, record, zones, bounds=None, page=500):
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store("127.0.0.1", page)
        ports = free_ports("127.0.0.1", 5)
        ips = [f"127.0.{i + 1}.1" for i in range(len(zones))]
        seeds = [f"{ip}:{ports[4]}" for ip in ips[:3]]
        self.gateways = [
            Gateway(self.folder, f"edge-{zone}-{i}", zone, ip, ports, self.store.addr, seeds,
                    dict(BOUNDS, **(bounds or {})))
            for i, (zone, ip) in enumerate(zip(zones, ips))]

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + 15
        while not all(g.ready() for g in self.gateways):
            if time.monotonic() > end:
                raise RuntimeError("the gateways are not ready after 15 s")
            time.sleep(0.1)

    def end(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def send_request(sock, method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"content-length: {len(body)}")
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def read_answer(source):
    """Returns status, headers, body and whether it is complete."""
    head = read_head(source)
    if head is None:
        return 0, [], b"", False
    status, headers = int(head[0].split(" ")[1]), head[1]
    body, complete = b"", True
    try:
        if (header(headers, "transfer-encoding") or "").lower() == "chunked":
            while True:
                line = source.readline()
                if not line:
                    return status, headers, body, False
                size = int(line, 16)
                part = source.read(size)
                body += part
                if len(part) < size or not source.readline():
                    return status, headers, body, False
                if size == 0:
                    break
        else:
            length = int(header(headers, "content-length") or 0)
            body = source.read(length)
            complete = len(body) == length
    except OSError:
        complete = False
    return status, headers, body, complete


def request(addr, method, path, headers, body=b"", timeout=20):
    """Sends one request on a connection of its own."""
    with socket.create_connection(addr, timeout=min(timeout, 1)) as sock:
        sock.settimeout(timeout)
        headers = {"host": "a.example", **headers}
        send_request(sock, method, path, headers, body)
        return read_answer(sock.makefile("rb"))


def route(name, prefix, kind, service, **more):
    base = {"name": name, "host": "a.example", "prefix": prefix, "type": kind, "service": service,
            "timeout_ms": 5000, "goal_ms": 300, "priority": 1, "attempts": 1, "public": False}
    return {**base, **more}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def config(version, routes, services, tenants=None):
    value = {"version": version, "routes": routes, "services": services, "limits": LIMITS}
    if tenants is not None:
        value["tenants"] = [{"name": n, "api_keys": keys} for n, keys in tenants.items()]
    return value


def service(name, **more):
    return {"name": name, "health_path": "/healthz", "max_conns": 284, "protocol": "h1",
            "tls": False, **more}


def main(case):
    """Runs a case; `case(record, fleet_holder)` returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    fleets = []
    code = 2
    try:
        broken = case(record, fleets)
        code = 1 if broken else 0
        record(f"the rule was {'broken' if broken else 'kept'}")
    except Exception as error:  # the case could not run
        record(f"the case could not run: {error!r}")
        print(repr(error), file=sys.stderr)
    finally:
        for fleet in fleets:
            fleet.end()
    sys.exit(code)
