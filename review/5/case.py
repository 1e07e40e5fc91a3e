"""A stopping proxy takes statements of open transactions until its last moment and then cuts those in flight."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
STOPPED = 0
CLIENTS = 6
GRACE_S = 6.0  # GraceS of the site.
SETTLE_S = 5.0  # SettleWindowMs of the site.
EARLY_S = 3.0  # A request sent no later than this after SIGTERM may be cut in the last sixth of GraceS.
STATEMENTS = 12  # Statements of a transaction, at most.
BEGIN_AFTER_S = 1.2  # The open and idle sessions begin their transactions this long after SIGTERM.
PAUSE_S = 0.15  # Between two statements of a transaction.
WORK_S = 0.2  # Of one read; the site's proof-view has 0.22 s at most.


async def transact(fleet, client, sent):
    """One transaction of reads."""
    begin = standins.new_id()
    sent[begin] = [standins.now(), None]
    texts = ["BEGIN READ"] + ["READ 1a4"] * STATEMENTS + ["COMMIT"]
    for text in texts:
        query = standins.new_id()
        sent[query] = [standins.now(), None, text]
        lines, state = await client.query(query, text)
        if lines is None:
            sent[query][1] = standins.now()
            return
        if any(line.startswith("ERR") for line in lines):
            return
        await asyncio.sleep(PAUSE_S)


async def case(fleet, trouble):
    for database in fleet.service.databases:
        database.work = WORK_S
    clients = [standins.Client(fleet.record, fleet.address(STOPPED, 8784), "xapu221") for _ in range(CLIENTS)]
    for client in clients:
        await client.open()
    await asyncio.sleep(SETTLE_S)
    stopped = standins.now()
    if trouble:
        fleet.signal(STOPPED, signal.SIGTERM)
    sent = {}
    tasks = []
    await asyncio.sleep(BEGIN_AFTER_S)
    for client in clients:
        await asyncio.sleep(0.08)
        tasks.append(asyncio.create_task(transact(fleet, client, sent)))
    await asyncio.gather(*tasks)
    until = stopped + GRACE_S + 1.0
    await asyncio.sleep(max(0.0, until - standins.now()))
    return [f"LOST: {it[2]} {query}, sent {it[0] - stopped:.3f} s after SIGTERM, reached {fleet.service.reached[query][1]} and got no answer: cut {it[1] - stopped:.3f} s after SIGTERM, {it[1] - it[0]:.3f} s after it was sent"
            for query, it in sent.items() if it[1] is not None and it[0] > stopped + EARLY_S and it[1] <= until and query in fleet.service.reached]


standins.run_case(FOLDER, 3, case)
