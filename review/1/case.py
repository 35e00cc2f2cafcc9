"""TWICE: an entry VM freezes and wakes again, and starts the jobs that others have long run elsewhere."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from standin import Site, job, main  # noqa: E402

# How long the VM stands still. The site file has 4.0 s.
FREEZE_S = float(os.environ.get("FREEZE_S", "2.2"))
ROUNDS = 4


async def case(site, record, trouble):
    await site.start(zones=["a", "b"], vms=1, workers=8)
    entry, other = site.vms
    stop = asyncio.Event()
    jobs = set()

    async def load():
        while not stop.is_set():
            task = asyncio.ensure_future(site.submit(entry, "desk", job((2, 6800, 900)), deadline_ms=5000))
            jobs.add(task)
            task.add_done_callback(jobs.discard)
            await asyncio.sleep(0.1)

    loader = asyncio.ensure_future(load())
    for _ in range(ROUNDS):
        await asyncio.sleep(5)
        if trouble:
            record.add("freeze", other.name)
            other.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            other.signal(signal.SIGCONT)
            record.add("wake", other.name)
    await asyncio.sleep(4)
    stop.set()
    await loader
    await asyncio.gather(*jobs)
    return [f"{task} run {run} began on {worker} while it ran as {others}"
            for task, run, worker, others in site.ledger.overlaps]


main(case, FOLDER)
