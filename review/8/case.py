"""A store that came back from an older copy: leaving instances keep getting work.

Two gateways. The store is away for a second and returns from a copy some
seconds old; the operator and the instances write again what was lost. Six
seconds later an instance reports `draining`.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from lab2 import (TROUBLE, Gateway, Instance, Store, configuration, fetch,
                  loopback_addresses, main, route)  # noqa: E402

DRAIN_S = 2.0
COLD_S = 4.5
AWAY_S = 1.0
BURST = 8               # requests to each gateway at once
CONFIG = configuration(7, "desk.example",
                       [route("r-read", "safe", "/read/", "desk"),
                        route("r-file", "unsafe", "/file/", "desk")], ["desk"])


async def case(record, folder, gateways):
    addresses = loopback_addresses(4)
    store = Store(record, addresses[0])
    await store.start()
    store.put("config", "main", CONFIG)

    async def add(names, cold=0.0):
        result = [Instance(record, store, addresses[1], "desk", "a", each,
                           cold=cold) for each in names]
        for each in result:
            await each.start()
        return result

    old = await add(["i-0", "i-1", "i-2"])
    made = [Gateway(record, folder, "frontend-a-%d" % (each + 1),
                    addresses[2 + each], store, []) for each in range(2)]
    for each in made:
        each.seeds = made
        gateways.append(each)
        await each.start()
    for each in made:
        await each.wait_ready()
    counts = {}
    number = 0

    async def send(gateway):
        nonlocal number
        number += 1
        label = "q%05d" % number
        method, path = (("GET", "/read/") if number % 2 else ("POST", "/file/"))
        sent = record("sent     id=%s %s to %s" % (label, method, gateway.name))
        try:
            answer = await asyncio.wait_for(fetch(
                gateway.address, gateway.callers, method, path + label,
                [("Host", "desk.example"), ("X-Request-Attempt-Id", label),
                 ("X-Deadline-Milliseconds", "4000")],
                b"entry" if method == "POST" else b""), 8)
            key = str(answer.status)
        except (OSError, EOFError, asyncio.TimeoutError):
            key = "no answer"
        record("answered id=%s %s" % (label, key))
        counts[key] = counts.get(key, 0) + 1
        return sent

    async def burst():
        await asyncio.gather(*[send(each) for each in made
                               for _ in range(BURST)])

    await asyncio.sleep(2)
    await burst()
    copy = store.snapshot()
    record("store    copy taken at revision %d" % store.revision)
    # Two instances join; an entry changes while the instance is cold.
    old += await add(["i-3", "i-4"], cold=COLD_S)
    await asyncio.sleep(3)
    await burst()
    await asyncio.sleep(3)
    record("store    at revision %d" % store.revision)
    if TROUBLE:
        store.go_down()
        record("store    away")
        await asyncio.sleep(AWAY_S)
        store.come_back(copy)
        store.put("config", "main", CONFIG)
        record("store    back from the copy, revision %d, era %d" %
               (store.revision, store.era))
    else:
        await asyncio.sleep(AWAY_S)
    for _ in range(2):
        await asyncio.sleep(3)
        await burst()
    record("store    at revision %d" % store.revision)

    leaving = old[0]
    leaving.begin_leaving()
    acknowledged = record("leaving  %s reports draining, acknowledged at "
                          "revision %d" % (leaving.identifier, store.revision))
    for _ in range(3):
        await asyncio.sleep(3.5)
        await burst()
    late = [each for each in leaving.runs if each[0] > acknowledged + DRAIN_S]
    record("late     %d requests ran at %s over %.1f s after that" %
           (len(late), leaving.identifier, DRAIN_S))

    # What follows isn't judged: all instances are replaced.
    new = await add(["n-0", "n-1", "n-2"])
    record("joined   n-0, n-1 and n-2")
    await asyncio.sleep(2)
    for each in old[1:]:
        each.begin_leaving()
    await asyncio.sleep(6)
    for each in old:
        each.end()
        store.remove("servers", each.identifier)
    record("gone     all earlier instances, revision %d" % store.revision)
    await asyncio.sleep(4)
    counts.clear()
    await burst()
    record("after    answers once all instances were replaced: %s; runs at the "
           "new ones: %d" % (counts, sum(len(each.runs) for each in new)))
    return bool(late)


if __name__ == "__main__":
    sys.exit(main(FOLDER, case))
