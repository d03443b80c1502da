"""The engine that answers a large prompt goes dark and starts again under the id that it had.

The prompt is larger than the memory of one engine: other engines set memory aside for it. The
engine that answers crashes silently while it streams, and is back after DARK_S. The gateway goes
on renewing the memory of the request that the crash has ended.
"""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import kit  # noqa: E402

HOST = "photos.example"
ENGINES = 16
KV_TOKENS = 450_000
PROMPT, ANSWER = 800_000, 800
STABLE_S = 4.0
FIRST_EVENT_S, EVENT_GAP_S, EVENTS = 1.5, 0.4, 17
CRASH_AFTER_EVENTS = 5
DARK_S = 1.5
# Bounds of the sheet: stall_ms 1,500, free_ms 4,000, idle_max_ms 9,000; a stretch counts from 2 s.
STALL_S, FREE_S, IDLE_MAX_S, STRETCH_S = 1.5, 4.0, 9.0, 2.0

CONFIG = {
    "version": 3,
    "routes": [
        {"name": "archive", "host": HOST, "prefix": "/archive/", "type": "streaming",
         "timeout_ms": 15000, "goal_ms": 3000, "gap_target_ms": 800, "priority": 1,
         "service": "mimosa-pool", "attempts": 2, "public": True, "sticky": True,
         "resumable": True},
    ],
    "services": [
        {"name": "mimosa-pool", "health_path": "/healthz", "max_conns": 284, "protocol": "h1",
         "tls": False, "engine": {
             "slots": 16, "kv_capacity": KV_TOKENS, "kv_bytes": 327680, "link_mbps": 400000.0,
             "stride": 46, "models": [{"name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483,
             "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917,
             "chunk": 2048, "report_lag_ms": 200.0, "usual": {"prompt": 13227, "answer": 1541},
             "hop_ms": 0.1}},
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


class Engine(kit.Runner):
    """An engine with tickets of memory."""

    def __init__(self, case, number):
        self.case, self.boot, self.born = case, 0, int(time.time() * 1000)
        self.lock = threading.RLock()
        self.tickets = {}
        self.ip, self.port = case.fleet.runner_ip, case.fleet.runner_port()
        super().__init__(case.fleet.store, f"i-{number:02d}", "mimosa-pool", self.ip, self.port,
                         case.fleet.zones[0], Engine.generate, order=Engine.take_order)

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0,
            "phase": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq, "born": self.born})

    def expire(self):
        with self.lock:
            now = time.monotonic()
            for ident in [i for i, (end, _) in self.tickets.items() if end < now]:
                del self.tickets[ident]
                self.case.ledger(self, ident, "expires", False)

    def take_order(self, sock, request):
        order = json.loads(request.body)
        ident, status = order["id"], 200
        with self.lock:
            self.expire()
            if order["op"] == "reserve":
                taken = sum(n for i, (_, n) in self.tickets.items() if i != ident)
                if taken + order["token_count"] > KV_TOKENS:
                    status = 409
                else:
                    known = ident in self.tickets
                    end = time.monotonic() + order["hold_ms"] / 1000
                    self.tickets[ident] = (end, order["token_count"])
                    self.case.ledger(self, ident, "renewed" if known else "reserved", True)
            elif order["op"] == "release":
                if self.tickets.pop(ident, None) is not None:
                    self.case.ledger(self, ident, "released", False)
        body = json.dumps({"free_slots": 16, "born": self.born}).encode()
        self.answer(sock, request, status, body, sealed=False)
        return False

    def generate(self, sock, request):
        ident, boot = request.get("x-attempt-id"), self.boot
        held = [part.split("/") for part in request.get("x-helpers", "").split(",") if "/" in part]
        used = [(self.case.engines[address], ticket) for address, ticket in held]
        start = int(request.get("last-event-id", "0"))
        self.case.record.write(f"{ident} runs at {self.id} after event {start}, with "
                               + ", ".join(f"{e.id}/{t}" for e, t in used))
        self.case.use(used, True)
        sock.sendall(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ident}\r\nX-Server-Seal: {self.id}.5ea1"
                     "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                     "\r\n\r\n".encode())
        try:
            for event in range(start + 1, EVENTS + 1):
                time.sleep(FIRST_EVENT_S if event == start + 1 else EVENT_GAP_S)
                if self.boot != boot:
                    # The crash has ended this run; its connection stays silent.
                    time.sleep(60)
                    return False
                data = f"id: {event}\ndata: {'x' * 40}\n\n".encode()
                sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                if event == CRASH_AFTER_EVENTS and self.case.trouble and not self.case.crashed:
                    self.case.crashed = True
                    self.crash(used)
            sock.sendall(b"0\r\n\r\n")
            return True
        finally:
            if self.boot == boot:
                self.case.use(used, False)

    def crash(self, used):
        """Goes dark: nothing is answered, also no packet of a new connection."""
        self.boot += 1
        self.tickets.clear()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind((self.ip, self.port))
        full.listen(0)
        fill = [socket.socket() for _ in range(4)]
        for sock in fill:
            sock.setblocking(False)
            sock.connect_ex((self.ip, self.port))
        self.case.record.write(f"{self.id} is dark, its requests have ended")
        # Work that depends on it stalls for stall_ms before it is cut off.
        threading.Timer(STALL_S, self.case.use, (used, False)).start()
        threading.Timer(DARK_S, self.restart, (full, fill)).start()

    def restart(self, full, fill):
        for sock in [full, *fill]:
            sock.close()
        self.born, self.seq = int(time.time() * 1000), 0
        self.listener = kit.serve((self.ip, self.port), self._connection)
        self.register()
        self.case.record.write(f"{self.id} has started again under its id, born {self.born}")


class Case:
    def __init__(self, fleet, trouble):
        self.fleet, self.record, self.trouble = fleet, fleet.record, trouble
        self.crashed = False
        self.lock = threading.Lock()
        self.changes, self.uses = [], []
        self.engines = {}

    def ledger(self, engine, ident, what, held):
        with self.lock:
            self.changes.append((time.monotonic(), engine.id, ident, held))
        self.record.write(f"{engine.id}: {ident} {what}")

    def use(self, used, begins):
        with self.lock:
            self.uses += [(time.monotonic(), e.id, t, begins) for e, t in used]

    def idle(self, ended):
        """Returns, by ticket, the spans in which it was set aside and no request used it."""
        events = [(at, (e, t), "held", v) for at, e, t, v in self.changes]
        events += [(at, (e, t), "used", 1 if v else -1) for at, e, t, v in self.uses]
        spans, state = [], {}
        for at, ticket, what, value in sorted(events, key=lambda event: event[0]) + [
                (ended, ticket, "held", False) for ticket in {e[1] for e in events}]:
            held, users, since, last_use = state.get(ticket, (False, 0, None, None))
            was_idle = held and users == 0
            if what == "held":
                held = value
            else:
                users += value
                last_use = at if users == 0 else last_use
            is_idle = held and users == 0
            if is_idle and not was_idle:
                since = at
            if was_idle and not is_idle:
                spans.append((ticket, since, at, last_use if what == "held" else state[ticket][3]))
            state[ticket] = (held, users, since, last_use)
        return spans


def case(fleet, trouble):
    this = Case(fleet, trouble)
    fleet.store.put("op/config", CONFIG)
    for number in range(ENGINES):
        engine = Engine(this, number)
        this.engines[engine.address] = engine

    def expire():
        while True:
            time.sleep(0.02)
            for engine in this.engines.values():
                engine.expire()

    threading.Thread(target=expire, daemon=True).start()
    fleet.start(0)
    fleet.ready(0)
    time.sleep(STABLE_S)
    answer = kit.ask(fleet.frontend(0), "POST", "/archive/1", HOST,
                     [("X-Attempt-Id", "archive-1"), ("X-Model", "m"),
                      ("X-Token-Usage", f"{PROMPT},{ANSWER}"), ("X-Deadline-Ms", "15000")],
                     b"month", timeout=20.0)
    fleet.record.write(f"archive-1: {kit.status(answer)}")
    time.sleep(5.0)
    if not this.uses or trouble and not this.crashed:
        raise kit.CannotRun("no memory was set aside, or the engine did not crash")
    leak = stuck = False
    for (engine, ticket), since, until, last_use in this.idle(time.monotonic()):
        idle_s = until - since
        over_s = until - max(since, last_use + FREE_S) if last_use is not None else 0.0
        leak |= over_s >= STRETCH_S
        stuck |= idle_s >= IDLE_MAX_S + STRETCH_S
        if idle_s > 0.5:
            after = f"{until - last_use:.1f} s" if last_use is not None else "never"
            fleet.record.write(f"{engine}: {ticket} was set aside for {idle_s:.1f} s without a "
                               f"request, up to {after} after the last one that used it had ended")
    fleet.record.write(f"LEAK broken: {leak}; STUCK broken: {stuck}")
    return not (leak or stuck)


kit.main(os.path.dirname(os.path.abspath(__file__)), case)
