"""Another writer keeps odd entries beside those of the instances. The platform
ends each process that exceeds its memory, and starts it again."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from lab3 import *  # noqa: E402,F403

MEMORY_MB = 260
GATEWAYS = 4
CALLERS = 40
WORK_S = 0.45
ENTRIES = 8
# Lists in lists, 30 deep: 1,037,000 bytes of the 1,048,576 of `value_bytes`.
ODD = "[" + ",".join(["[" * 30 + "]" * 30] * 17_000) + "]"
INTERVAL_S = 1.5
WATCHED_S = 30
RESTART_S = 1.0


async def submit(record, gateway, results):
    """A caller that sends one submission after the other."""
    await asyncio.sleep(random.random() * WORK_S)
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.front)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        try:
            while True:
                label = new_label()
                results[label] = "open"
                writer.write(request_bytes("POST", "/post/1", label, 8000,
                                           b"entry=rice&amount=2"))
                record("caller sends %s to %s" % (label, gateway.name))
                try:
                    status, _, _ = await read_response(reader)
                except STREAM_ENDS as failure:
                    if isinstance(failure, asyncio.CancelledError):
                        raise
                    results[label] = "closed"
                    record("caller: %s is closed without an answer" % label)
                    break
                results[label] = status
                record("caller gets %d for %s" % (status, label))
        finally:
            writer.close()


async def keep_odd_entries(record, store):
    """Writes the entries as often as an instance does."""
    store.texts["odd text"] = ODD
    while True:
        for number in range(ENTRIES):
            store.write("servers", "another-%d" % number, "odd text")
        record("another writer has written %d entries of %d bytes" %
               (ENTRIES, len(ODD)))
        await asyncio.sleep(INTERVAL_S)


async def run_by_platform(record, gateway, ends):
    """DEPLOY.md: a process that exceeds `memory_mb` is killed; a process that
    is killed is started again after a short delay."""
    while True:
        await asyncio.sleep(0.02)
        held = gateway.memory()
        if held > MEMORY_MB * 1024 * 1024:
            record("%s holds %d bytes: the platform kills it" %
                   (gateway.name, held))
            gateway.signal(signal.SIGKILL)
            gateway.process.wait()
        if gateway.process.poll() is not None:
            ends[gateway.name] = ends.get(gateway.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            gateway.log.close()
            gateway.start()


async def case(record, deployment, trouble):
    store = deployment.store
    instances = [Instance(store, record, "diary", work=WORK_S)
                 for _ in range(8)]
    await deployment.start(
        {"diary": instances},
        [route("r-2", "/post/", "diary", "unsafe")], gateways=GATEWAYS,
        memory_mb=MEMORY_MB)
    results, ends = {}, {}
    tasks = [asyncio.create_task(submit(
        record, deployment.gateways[number % GATEWAYS], results))
        for number in range(CALLERS)]
    tasks += [asyncio.create_task(run_by_platform(record, each, ends))
              for each in deployment.gateways]
    await asyncio.sleep(3)
    if trouble:
        tasks.append(asyncio.create_task(keep_odd_entries(record, store)))
    await asyncio.sleep(WATCHED_S)
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ran = {label for each in instances for label in each.runs}
    lost = [label for label, result in results.items()
            if result == "closed" and label in ran]
    answered = sum(result == 200 for result in results.values())
    record("ends of processes: %s; %d submissions answered; %d were passed on "
           "to a sound instance and got no answer" %
           (" ".join("%s %d" % each for each in sorted(ends.items())) or
            "none", answered, len(lost)))
    if answered == 0:
        raise CannotRun("no submission was answered")
    return len(lost) <= 3


play(case, pathlib.Path(__file__).resolve().parent)
