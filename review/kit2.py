"""Stand-ins and helpers of the cases 6 to 10.

`Store` is the platform's metadata store, `Runner` a runner of a service, and `Fleet`
starts instances with the command of the deploy file. All addresses are loopback ones.
Only the Python standard library is used.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line)


class Store:
    """The platform's store: items, leases, ranges, watches and transactions."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.handle(self, "GET")

            def do_POST(self):
                store.handle(self, "POST")

            def do_DELETE(self):
                store.handle(self, "DELETE")

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                """A caller that was killed is no fault of the store."""

        self.server = Server((ip, 0), Handler)
        self.addr = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _expire(self):
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if now >= end:
                self._end(lease)

    def _end(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._change(key, None)

    def _change(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": value, "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.history.append(item)
        self.changed.notify_all()

    def put(self, key, value):
        """Writes a JSON value as the operator or a runner; returns at the ack."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._change(key, text)

    def remove(self, key):
        with self.changed:
            self._change(key, None)

    def handle(self, http, method):
        length = int(http.headers.get("content-length") or 0)
        body = http.rfile.read(length) if length else b""
        url = urlsplit(http.path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        status, answer = self.answer(method, url.path, query, json.loads(body) if body else {})
        data = json.dumps(answer).encode()
        try:
            http.send_response(status)
            http.send_header("Content-Type", "application/json")
            http.send_header("Content-Length", str(len(data)))
            http.end_headers()
            http.wfile.write(data)
        except OSError:
            http.close_connection = True

    def answer(self, method, path, query, body):
        with self.changed:
            self._expire()
            if (method, path) == ("GET", "/kv-key"):
                item = self.items.get(query["key"])
                return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
            if (method, path) == ("GET", "/kv-range"):
                keys = sorted(k for k in self.items
                              if k.startswith(query["prefix"]) and k > query.get("after", ""))
                return 200, {"entries": [self.items[k] for k in keys[:500]],
                             "truncated": len(keys) > 500, "at": self.revision}
            if (method, path) == ("GET", "/kv-watch"):
                return 200, self._watch(query)
            if (method, path) == ("POST", "/kv-txn"):
                return self._txn(body)
            if (method, path) == ("POST", "/kv-lease"):
                self.next_lease += 1
                ttl = body["ttl_ms"] / 1000
                self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
                return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rsplit("/", 1)[-1]) if path.startswith(("/kv-keep/", "/kv-lease-end/")) else 0
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}

    def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            self.changed.wait(left)

    def _txn(self, body):
        for row in body.get("expected", []):
            known = self.items.get(row["key"], {}).get("revision", 0)
            if known != row["revision"]:
                return 412, {"entries": [self.items[r["key"]] for r in body["expected"]
                                         if r["key"] in self.items]}
        for item in body.get("set_keys", []):
            if item.get("lease") and item["lease"] not in self.leases:
                return 404, {}
        for item in body.get("set_keys", []):
            self._change(item["key"], item["value"], item.get("lease", 0))
        for key in body.get("remove", []):
            self._change(key, None)
        return 200, {"revision": self.revision}


class Request:
    """A request as a runner received it."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return next((v for k, v in self.headers if k.lower() == name.lower()), default)


class Runner:
    """A runner of a service; `reply` gets the request and returns status, headers, body."""

    def __init__(self, store, ip, service, name, zone, reply, slots=6):
        self.store, self.name, self.service = store, name, service
        self.reply = reply
        self.listener = socket.create_server((ip, 0))
        self.port = self.listener.getsockname()[1]
        self.entry = {"service": service, "address": f"{ip}:{self.port}", "zone": zone,
                      "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0,
                      "phase": "mixed", "models": [], "seq": 1,
                      "born": int(time.time() * 1000)}
        threading.Thread(target=self._accept, daemon=True).start()
        store.put(f"servers/{name}", self.entry)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while request := read_request(stream):
                if request.header("x-expect-instance", self.name) != self.name:
                    answer = (421, [("X-Instance-Id", self.name)], b"")
                elif request.line.startswith("GET /healthz "):
                    answer = (200, [("X-Instance-Id", self.name)], b"")
                else:
                    answer = self.reply(self, request)
                if answer is None:
                    return
                status, headers, body = answer
                attempt = request.header("x-attempt-id")
                head = [f"HTTP/1.1 {status} -"] + [f"{k}: {v}" for k, v in headers]
                if attempt:
                    head.append(f"X-Attempt-Id: {attempt}")
                head.append(f"Content-Length: {len(body)}")
                connection.sendall("\r\n".join(head + ["", ""]).encode() + body)
        except OSError:
            pass
        finally:
            stream.close()
            connection.close()


def seal(attempt, body):
    """Returns the header with which a runner signs its answer."""
    return ("X-Server-Seal", f"3e1b.{len(body):x}.{abs(hash((attempt, body))) & 0xffffffff:08x}")


def read_request(stream):
    line = stream.readline()
    if not line.strip():
        return None
    headers = []
    while (row := stream.readline().strip()):
        name, _, value = row.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    request = Request(line.decode("latin-1").strip(), headers, b"")
    length = int(request.header("content-length", "0") or 0)
    request.body = stream.read(length) if length else b""
    return request


class Client:
    """A client with one kept connection."""

    def __init__(self, addr):
        self.addr = addr
        self.socket = None

    def ask(self, method, path, attempt, headers=(), body=b"", deadline_ms=3000):
        """Returns status, headers and body; `None` as status if the connection ends."""
        host, port = self.addr.split(":")
        if self.socket is None:
            self.socket = socket.create_connection((host, int(port)), timeout=1)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.stream = self.socket.makefile("rb")
        self.socket.settimeout(deadline_ms / 1000 + 1)
        rows = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Attempt-Id: {attempt}",
                f"X-Deadline-Ms: {deadline_ms}"] + [f"{k}: {v}" for k, v in headers]
        if body or method != "GET":
            rows.append(f"Content-Length: {len(body)}")
        try:
            self.socket.sendall("\r\n".join(rows + ["", ""]).encode() + body)
            line = self.stream.readline().decode()
            found = {}
            while (row := self.stream.readline().strip()):
                name, _, value = row.decode("latin-1").partition(":")
                found[name.strip().lower()] = value.strip()
            if not line:
                raise OSError("the connection ended")
            data = self.stream.read(int(found.get("content-length", 0)))
        except OSError as error:
            self.close()
            return None, {}, str(error).encode()
        if found.get("connection", "").lower() == "close":
            self.close()
        return int(line.split()[1]), found, data

    def close(self):
        if self.socket:
            self.stream.close()
            self.socket.close()
        self.socket = None


def free_port(ip):
    with socket.create_server((ip, 0)) as listener:
        return listener.getsockname()[1]


def lookup(fields, name):
    if name == ".":
        return fields
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
    return value


def render(text, fields):
    """Fills in the placeholders of a template that `deploy/gateway.yaml` uses."""

    def section(match):
        values = lookup(fields, match[1])
        parts = []
        for index, value in enumerate(values):
            last = index + 1 == len(values)
            parts.append(match[2].replace("{{.}}", str(value)).replace("{{,}}", "" if last else ","))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def plain(match):
        value = lookup(fields, match[1])
        return str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


class Fleet:
    """Instances that run the command of `deploy/system.toml` with its template."""

    def __init__(self, store, places, record):
        """`places` lists the IP address and the zone of each instance."""
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.record = record
        deploy = open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8").read()
        self.command = re.search(r'^run = "(.*)"$', deploy, re.M)[1]
        template = re.search(r'^template = "(.*)"$', deploy, re.M)[1]
        self.template = open(os.path.join(ROOT, template), encoding="utf-8").read()
        callers, ready, control, first, last = (free_port(places[0][0]) for _ in range(5))
        self.fields = {}
        for index, (ip, zone) in enumerate(places):
            self.fields[f"edge-{index + 1}"] = {
                "node_name": f"edge-{index + 1}", "zone": zone, "ip": ip, "bootstrap": True,
                "listen": {"frontend": f"{ip}:{callers}", "readiness": f"{ip}:{ready}"},
                "port_range": [first, last],
                "seeds": [f"{other}:{control}" for other, _ in places[:3]],
                "platform": {"address": store.addr},
                "limits": {"memory_mb": 260, "cpu_share": 0.25},
                "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100,
                           "retry_window_s": 10},
            }

    def start(self, name):
        fields = self.fields[name]
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.template, fields))
        command = render(self.command, fields).replace("/etc/mimosapass/boot.conf", path).split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is missing: build it first")
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["MIMOSAPASS_SETTINGS"] = path
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, env=environment)

    def start_all(self):
        for name in self.fields:
            self.start(name)
        for name in self.fields:
            self.wait_ready(name)

    def wait_ready(self, name, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if Client(self.fields[name]["listen"]["readiness"]).ask("GET", "/readyz", "r")[0] == 200:
                    return
            except OSError:
                pass
            if self.processes[name].poll() is not None:
                break
            time.sleep(0.05)
        log = open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8").read()
        raise CannotRun(f"{name} is not ready: {log[-2000:]}")

    def callers(self, name):
        return self.fields[name]["listen"]["frontend"]

    def log(self, name):
        return open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8").read()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix, "type": kind,
            "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": service,
            "attempts": 1 if kind == "non_idempotent" else 2, "public": False, **more}


def config(version, routes, services, tenants):
    return {
        "version": version, "routes": routes,
        "services": [{"name": s, "health_path": "/healthz", "max_conns": 110, "protocol": "h1",
                      "tls": False} for s in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": keys, "priority": 1}
                    for name, keys in tenants.items()],
    }


def run_case(folder, case):
    """Runs `case(record)`, which returns what broke the rule; exits as the review asks."""
    record = Record(folder)
    record(f"with the disruption: {'yes' if TROUBLE else 'no'}")
    try:
        broken = case(record)
    except (CannotRun, OSError) as error:
        record(f"the case could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record(f"BROKEN: {text}")
    record(f"result: {'the rule was broken' if broken else 'the rule held'}")
    sys.exit(1 if broken else 0)
