"""A primary crashes while one replica receives nothing and the other is leaving: the one without the commits leads."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
HOSTS = 3
WRITERS = 4
SETTLE_S = 5.0  # SettleWindowMs of the site.
DEAF_AFTER_S = 1.0  # From the report of the leaving replica.
CRASH_AFTER_S = 3.0
DEAF_S = 6.5  # As long as on the site.


async def write_on(fleet, host, stopped, acknowledged):
    while not stopped.is_set():
        client = standins.Client(fleet.record, fleet.address(host, 8784), "lepu270")
        try:
            await client.open()
            while not stopped.is_set():
                query = standins.new_id()
                lines, _ = await client.query(query, f"WRITE {random.randint(0, 1999):x} {query}")
                if lines is None:
                    break
                if lines[0].startswith("DONE"):
                    acknowledged[query] = standins.now()
                await asyncio.sleep(0.1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        client.close()


async def case(fleet, trouble):
    stopped, acknowledged = asyncio.Event(), {}
    writers = [asyncio.create_task(write_on(fleet, n % HOSTS, stopped, acknowledged)) for n in range(WRITERS)]
    await asyncio.sleep(SETTLE_S)
    primary, deaf, leaving = fleet.service.databases
    if trouble:
        leaving.state = "draining"  # It goes on receiving, and counts toward SyncReplicas, until it ends.
        fleet.record.write("draining", db=leaving.id)
        await asyncio.sleep(DEAF_AFTER_S)
        deaf.hold = asyncio.Event()
        fleet.record.write("receives-nothing", db=deaf.id)
        await asyncio.sleep(CRASH_AFTER_S - DEAF_AFTER_S)
        await primary.crash()
        await asyncio.sleep(DEAF_S - (CRASH_AFTER_S - DEAF_AFTER_S))
        hold, deaf.hold = deaf.hold, None
        hold.set()
    else:
        await asyncio.sleep(DEAF_AFTER_S + DEAF_S)
    stopped.set()
    await asyncio.gather(*writers)
    print(f"{len(acknowledged)} acknowledged writes, {len(fleet.promote.orders)} orders to promote")
    lost = sorted(set(fleet.service.cut_commits) & set(acknowledged), key=acknowledged.get)
    if not lost:
        return []
    return [f"LOST: {len(lost)} writes were acknowledged after {leaving.id} had received them, and are not in the log of the promoted {fleet.service.primary.id}: "
            f"{lost[0]} at {acknowledged[lost[0]]:.3f} s to {lost[-1]} at {acknowledged[lost[-1]]:.3f} s"]


standins.run_case(FOLDER, HOSTS, case, sync=1)
