"""TWICE: worker processes crash and start again at once under the ids that they had."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
from standin import Site, job, main  # noqa: E402

# How long a crashed worker is away.
DOWN_S = float(os.environ.get("DOWN_S", "0.01"))
# Whether its service manager holds the listening socket meanwhile, so that new connections wait instead of being refused.
KEEPS_SOCKET = os.environ.get("KEEPS_SOCKET", "0") == "1"
CRASHES = 10


async def case(site, record, trouble):
    await site.start(zones=["a", "b"], vms=1, workers=12)
    stop = asyncio.Event()
    jobs = set()

    async def load():
        count = 0
        while not stop.is_set():
            vm = site.vms[count % len(site.vms)]
            count += 1
            task = asyncio.ensure_future(site.submit(vm, "desk", job((1, 500, 600)), deadline_ms=2500))
            jobs.add(task)
            task.add_done_callback(jobs.discard)
            await asyncio.sleep(0.015)

    loader = asyncio.ensure_future(load())
    for _ in range(CRASHES):
        await asyncio.sleep(2.5)
        if trouble:
            busiest = max(site.workers, key=lambda worker: len(worker.running))
            await busiest.crash(DOWN_S, KEEPS_SOCKET)
    await asyncio.sleep(2)
    stop.set()
    await loader
    await asyncio.gather(*jobs)
    return [f"{task} run {run} began on {worker} while it ran as {others}"
            for task, run, worker, others in site.ledger.overlaps]


main(case, FOLDER)
