"""The platform restarts a process after a bound in its settings became a fraction.

DEPLOY.md: bounds are "whole numbers, fractions, or true or false". The stand-in of the platform
fills in the template again, and restarts the process with the settings in effect,
first as planned work, and again each time that the process ends by itself.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import kit  # noqa: E402

HOST = "photos.example"
GATEWAYS = 2
STABLE_S = 4.0
RESTART_S = 0.5
# `roll_term` of the site file: share 1.0, gap_s 2.0.
GAP_S = 2.0
WATCH_S = 15.0
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "upload", "host": HOST, "prefix": "/upload/", "type": "non_idempotent",
         "timeout_ms": 1200, "goal_ms": 150, "priority": 2, "service": "courier-api",
         "attempts": 1, "public": True},
    ],
    "services": [{"name": "courier-api", "health_path": "/healthz", "max_conns": 48,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}


def case(fleet, trouble):
    record, sent, served = fleet.record, 0, 0

    def run(runner, sock, request):
        runner.answer(sock, request, 200, b"stored")
        return True

    fleet.store.put("op/config", CONFIG)
    kit.Runner(fleet.store, "i-1", "courier-api", fleet.runner_ip, fleet.runner_port(),
               fleet.zones[0], run)
    for number in range(GATEWAYS):
        fleet.start(number)
    for number in range(GATEWAYS):
        fleet.ready(number)
    time.sleep(STABLE_S)
    # 8 s and 7.5 s: both are valid values of the bound.
    fleet.bounds["grace_s"] = 7.5 if trouble else 8
    record.write(f"grace_s is {fleet.bounds['grace_s']} from now on")
    starts, ends = [0] * GATEWAYS, [0] * GATEWAYS
    for number in range(GATEWAYS):
        fleet.settings(number)
        fleet.signal(number, signal.SIGTERM)
        fleet.processes[number].wait(12)
        time.sleep(RESTART_S)
        fleet.start(number)
        starts[number] += 1
        time.sleep(GAP_S)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        for number, process in fleet.processes.items():
            if process.poll() is not None:
                ends[number] += 1
                record.write(f"gateway {number} ended by itself, code {process.returncode}")
                time.sleep(RESTART_S)
                fleet.start(number)
                starts[number] += 1
            sent += 1
            answer = kit.ask(fleet.frontend(number), "POST", "/upload/1", HOST,
                             [("X-Attempt-Id", f"id-{sent}"), ("X-Deadline-Ms", "2500")], b"x")
            served += kit.status(answer) == 200
            record.write(f"id-{sent} at gateway {number}: {kit.status(answer)}")
        time.sleep(0.3)
    for line in fleet.log_lines(0, "invalid")[-1:]:
        record.write("gateway 0 wrote: " + line.split("boot-0.conf:")[-1])
    record.write(f"starts {starts}, ends by themselves {ends}, served {served} of {sent}")
    return not all(count >= 3 for count in ends)


kit.main(os.path.dirname(os.path.abspath(__file__)), case, zones=("zapad-a",) * GATEWAYS)
