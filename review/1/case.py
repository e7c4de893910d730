"""A planned stop cuts submissions that it took more than three seconds after
SIGTERM, while their instance is at work on them. See claim.txt."""
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (CannotRun, Gateway, Instance, Store, TROUBLE, configuration,
                      free_address, read_answer, request_bytes, route, run_case)

GRACE_S = 6
DEADLINE_MS = 5000   # sftt-gateway: declaration-submit
TIMEOUT_S = 2.5
USUAL_WORK_S = 0.2
LONG_WORK_S = 2.4
CONSUMERS = 6
CONNECT_AT_S = 2.8   # after SIGTERM
SEND_AT_S = 3.3


def play(folder, record, ends):
    store = Store(free_address())
    store.put("config", "main", configuration(
        [route("declaration-submit", "/declarations/", "unsafe", "desk", TIMEOUT_S, 0.8)]))
    finished = {}

    def work(instance, connection, request):
        record.line(f"instance {instance.name} runs {request.id}")
        time.sleep(LONG_WORK_S if request.target == "/declarations/long" else USUAL_WORK_S)
        finished[request.id] = time.monotonic()
        record.line(f"instance {instance.name} has finished {request.id}")
        connection.sendall(instance.head(request, 5) + b"filed")

    for index in range(3):
        instance = Instance(free_address(), f"i-{index}", "desk", work)
        store.put("servers", instance.name, instance.entry())
    gateway = Gateway(folder, "frontend-a-1", store.address, grace_s=GRACE_S)
    ends.append(gateway)
    gateway.wait_ready()
    time.sleep(3.5)  # stable_window_s

    # The usual declarations, from which the gateway knows how long they take.
    with socket.create_connection(gateway.front) as connection:
        stream = connection.makefile("rb")
        for index in range(20):
            connection.sendall(request_bytes("POST", "/declarations/usual", f"usual-{index}",
                                             DEADLINE_MS, b"master file"))
            answer = read_answer(stream)
            record.line(f"usual-{index} was answered: {answer}")
            if answer.status != 200:
                raise CannotRun("a usual request was not served")

    term = time.monotonic()
    if TROUBLE:
        gateway.send_signal(signal.SIGTERM)
        record.line("SIGTERM was sent")
    lost, lock = [], threading.Lock()

    def consume(number):
        request_id = f"late-{number}"
        time.sleep(max(0, term + CONNECT_AT_S - time.monotonic()))
        try:
            connection = socket.create_connection(gateway.front, 1)
        except OSError:
            record.line(f"consumer {number} was not connected")
            return
        connection.settimeout(DEADLINE_MS / 1000)
        time.sleep(max(0, term + SEND_AT_S - time.monotonic()))
        try:
            connection.sendall(request_bytes("POST", "/declarations/long", request_id,
                                             DEADLINE_MS, b"master file"))
        except OSError:
            record.line(f"{request_id} could not be sent")
            return
        sent = time.monotonic() - term
        answer = read_answer(connection.makefile("rb"))
        ended = time.monotonic() - term
        record.line(f"{request_id}: sent {sent:.2f} s and ended {ended:.2f} s after SIGTERM: "
                    f"{answer}")
        with lock:
            lost.append((request_id, sent, ended, answer))

    consumers = [threading.Thread(target=consume, args=(n,)) for n in range(CONSUMERS)]
    for each in consumers:
        each.start()
    for each in consumers:
        each.join()
    time.sleep(max(0, term + SEND_AT_S + LONG_WORK_S + 0.5 - time.monotonic()))

    broken = 0
    for request_id, sent, ended, answer in lost:
        done = finished.get(request_id)
        # An answer of the gateway's own in the place of the instance's, or none,
        # while the instance was at work on a request sent later than 3 s.
        if done is None or sent <= 3.0 or ended > GRACE_S + 1:
            continue
        is_own = answer.is_complete and "x-server-signature" not in answer.headers
        if (is_own or not answer.is_complete) and done - term > ended:
            record.line(f"LOST: {request_id}, its instance finished {done - term:.2f} s "
                        "after SIGTERM")
            broken += 1
    record.line(f"{broken} of {len(lost)} late submissions lost", True)
    if not TROUBLE and any(a.status != 200 for _, _, _, a in lost):
        raise CannotRun("a request failed without the disruption")
    return broken > 0


run_case(__file__, play)
