"""A line feed in a client's text is taken for the end of the message: other statements run than the client sent."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))


async def case(fleet, trouble):
    texts = {}
    gap = "\n" if trouble else "_"
    ran = []
    for database in fleet.service.databases:
        def watch(database=database, run=database.run):
            async def watched(connection, query, text):
                if query != "-":
                    ran.append((database.id, query, text))
                return await run(connection, query, text)
            database.run = watched
        watch()
    client = standins.Client(fleet.record, fleet.address(0, 8784), "lepu270")
    await client.open()
    for data in (f"first-line{gap}second-line", f"page{gap}QUERY 00000000000000ff WRITE 7 smuggled"):
        query = standins.new_id()
        texts[query] = f"WRITE 1a4 {data}"
        await client.query(query, texts[query], timeout=2.0)
    await asyncio.sleep(1.0)
    client.close()
    broken = []
    for name, query, text in ran:
        if query not in texts:
            broken.append(f"UNASKED: {name} ran {query} {text!r}, which no client sent as a message")
        elif text != texts[query]:
            broken.append(f"UNASKED: {name} ran {query} as {text!r} instead of {texts[query]!r}")
    return broken


standins.run_case(FOLDER, 1, case)
