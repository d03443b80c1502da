"""A planned stop takes streams on late and cuts them at its end."""
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from kit3 import (TROUBLE, Fleet, Runner, config, main, read_answer, route, send_request,  # noqa: E402
                  service)

# The engine of the site file, as `fleetbench wire` shows it.
ENGINE = {"slots": 16, "kv_capacity": 450000, "kv_bytes": 327680, "link_mbps": 400000.0, "stride": 46,
          "models": [{"name": "m"}], "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
          "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
          "usual": {"prompt": 13227, "answer": 1541}, "hop_ms": 0.1}
PASSES = 44  # each ends with an event of 46 tokens
LONG_PROMPT = 210_000  # the mean of the site's `archive-dispute`
LONG_AFTER_S = 3.6  # when an engine begins to read it, after the signal
AFTER_S = 3.15  # later than 3 s after the SIGTERM
CLIENTS = 6
LIMIT_S = 10  # of the client and of the route


def pass_ms(running, context, unread):
    """Returns the time of one pass with writers, and the tokens that are unread after it.

    PROTOCOL.md: `stride` steps of `step_ms` and more; at most `chunk` tokens are read in a step, at
    `read_per_s`, and `pairs_per_m` for each million pairs with earlier tokens.
    """
    total = 0.0
    for _ in range(ENGINE["stride"]):
        total += (ENGINE["step_ms"] + ENGINE["per_seq_ms"] * running
                  + ENGINE["context_per_k"] * context / 1000)
        read = min(ENGINE["chunk"], unread)
        pairs = read * (LONG_PROMPT - unread + read / 2)
        total += read / ENGINE["read_per_s"] * 1000 + pairs / 1e6 * ENGINE["pairs_per_m"]
        unread -= read
    return total, unread


def case(record, fleets):
    fleet = Fleet(record, ["zapad-a", "zapad-a", "zapad-b"])
    fleets.append(fleet)
    routes = [route("r-ack", "/ack/", "non_idempotent", "app"),
              route("r-check", "/check/", "streaming", "pool", timeout_ms=10000, goal_ms=300,
                    gap_target_ms=200, sticky=True)]
    services = [service("app"), service("pool", engine=ENGINE)]
    fleet.store.put("op/config", config(3, routes, services))
    Runner(fleet.store, "127.0.0.1", "i-app", "app", "zapad-a", lambda _: None)
    engines = [Runner(fleet.store, "127.0.0.1", f"i-{i}", "pool", zone, record)
               for i, zone in enumerate(["zapad-a", "zapad-b", "zapad-c"])]

    cut_off = set()

    def writing(engine):
        def answer(conn, headers, _):
            head = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"]
            head += [f"{name}: {value}" for name, value in engine.seal(headers)]
            conn.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            unread = LONG_PROMPT
            for event in range(1, PASSES + 1):
                reads = unread if time.monotonic() >= begin + LONG_AFTER_S else 0
                took, rest = pass_ms(CLIENTS, CLIENTS * 7000, reads)
                unread -= reads - rest
                time.sleep(took / 1000)
                text = f"id: {event}\ndata: piece {event}\n\n".encode()
                try:
                    conn.sendall(b"%x\r\n%s\r\n" % (len(text), text))
                except OSError:
                    cut_off.add(dict(headers)["x-attempt-id"])  # the runner was still at work
                    raise
            conn.sendall(b"0\r\n\r\n")
            return True
        return answer

    for engine in engines:
        engine.answer = writing(engine)
    begin = time.monotonic()
    fleet.start()
    gateway = fleet.gateways[0]
    kept = []
    for number in range(CLIENTS):
        sock = socket.create_connection((gateway.ip, gateway.ports[0]), timeout=1)
        sock.settimeout(12)
        source = sock.makefile("rb")
        head = {"host": "a.example", "x-attempt-id": f"ack-{number}", "x-deadline-ms": "2500"}
        send_request(sock, "POST", "/ack/2f", head, b"hello")
        assert read_answer(source)[0] == 200
        kept.append((sock, source))
    time.sleep(3.2)  # `stable_window_ms` after the start
    begin = time.monotonic()
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        record(f"platform: SIGTERM to {gateway.name}")
    record(f"at {LONG_AFTER_S} s each engine gets a prompt of {LONG_PROMPT} tokens of another caller to read")
    lost = []

    def client(number, sock, source):
        attempt = f"check-{number}"
        head = {"host": "a.example", "x-attempt-id": attempt, "x-deadline-ms": "10000", "x-model": "m",
                "x-token-usage": f"4960,{PASSES * 46}", "x-prefix-hash": f"5c1e07a2:40,9{number}:4920"}
        time.sleep(max(0, begin + AFTER_S + number * 0.02 - time.monotonic()))
        sent = time.monotonic() - begin
        try:
            send_request(sock, "POST", "/check/2f", head, b"prompt")
            status, _, body, complete = read_answer(source)
        except OSError as error:
            status, body, complete = type(error).__name__, b"", False
        ended = time.monotonic() - begin
        record(f"{attempt}: sent {sent:.2f} s after the signal, ended after {ended:.2f} s: {status}, "
               f"{body.count(b'id: ')} of {PASSES} pieces, {'whole' if complete else 'not whole'}")
        ran = any(run[1] == attempt for engine in engines for run in engine.runs)
        # The excuses: sent no later than 3 s after the SIGTERM, the time limit.
        if ran and not complete and sent > 3 and ended - sent < LIMIT_S:
            lost.append(attempt)

    clients = [threading.Thread(target=client, args=(number, *pair)) for number, pair in enumerate(kept)]
    for thread in clients:
        thread.start()
    if TROUBLE:
        try:
            gateway.process.wait(timeout=8)
            record(f"{gateway.name} has ended {time.monotonic() - begin:.2f} s after the signal")
        except Exception:
            gateway.process.kill()
            record("platform: SIGKILL, 8 s after the signal")
    for thread in clients:
        thread.join()
    time.sleep(2)
    lost[:] = [attempt for attempt in lost if attempt in cut_off]  # not those that the runner broke off
    record(f"passed on and ended without a whole answer: {lost}")
    return bool(lost)


main(case)
