"""An entry of another writer ends every listing of the store; instances that start have no data."""
import collections
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from kit3 import TROUBLE, Fleet, Runner, config, header, main, request, route, service  # noqa: E402

RECOVER_S = 12  # bounds.recover_s
DOWN_S = 1.4
FOREIGN = "servers/hall 2 spare"
VALUE_BYTES = 1_048_576  # platform.value_bytes; a page of a listing has 1 MB


def case(record, fleets):
    zones = ["zapad-a", "zapad-b", "zapad-c"]
    fleet = Fleet(record, zones)
    fleets.append(fleet)
    routes = [route("r-poll", "/poll/", "idempotent", "app", timeout_ms=1200, goal_ms=150, attempts=2)]
    fleet.store.put("op/config", config(3, routes, [service("app")]))
    for number, zone in enumerate(zones):
        Runner(fleet.store, "127.0.0.1", f"i-{number}", "app", zone, lambda _: None, slots=6)
    fleet.start()
    count = 0

    def ask(seconds):
        """Sends 10 requests a second; returns how they ended."""
        nonlocal count
        ends = collections.Counter()
        for number in range(int(seconds * 10)):
            begin = time.monotonic()
            gateway = fleet.gateways[number % len(fleet.gateways)]
            count += 1
            head = {"x-attempt-id": f"a{count}", "x-deadline-ms": "2500"}
            try:
                status, headers, _, complete = request(
                    (gateway.ip, gateway.ports[0]), "GET", "/poll/2f", head, timeout=3)
                sealed = header(headers, "x-server-seal") is not None
                ends["served" if status == 200 and sealed and complete else status] += 1
            except OSError as error:
                ends[type(error).__name__] += 1
            time.sleep(max(0, begin + 0.1 - time.monotonic()))
        return ends

    before = ask(3)
    record(f"before: {dict(before)}")
    if TROUBLE:
        fleet.store.put(FOREIGN, os.urandom(VALUE_BYTES))
        record(f"another writer: {FOREIGN!r}, {VALUE_BYTES} bytes that can't be read")
        before = ask(3)
        record(f"with it: {dict(before)}")
    for gateway in fleet.gateways:
        gateway.process.kill()
        gateway.process.wait()
    record("all processes of the system are killed")
    time.sleep(DOWN_S)
    for gateway in fleet.gateways:
        gateway.start(first=False)
    record("they are back")
    time.sleep(RECOVER_S)
    record(f"ready after {RECOVER_S} s: {[gateway.ready() for gateway in fleet.gateways]}")
    ends = ask(6)
    record(f"sent later than {RECOVER_S} s after they are back: {dict(ends)}")
    record(f"store: {dict(fleet.store.calls)}, slowest answer {fleet.store.slowest * 1000:.0f} ms")
    # "[...] though a quarter or more was before the final fault."
    if before["served"] < sum(before.values()) / 4:
        raise RuntimeError("too little was served before the final fault")
    return ends["served"] < sum(ends.values()) / 4


main(case)
