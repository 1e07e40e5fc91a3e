"""A primary crashes while the promote call gives no answer; its replicas stay stopped after it is back, and nothing is served."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins

FOLDER = os.path.dirname(os.path.abspath(__file__))
HOSTS = 3
# By database: primary, read_your_writes, bounded. A third of the load of stz-ljubljana, which has three such services.
SESSIONS = {"lepu270": 16, "fiti832": 72, "xapu221": 16}
# Operations that commit a write: single writes (35 and 12 %), and the transactions (25 and 12 %) that hold one among four
# statements.
WRITE_SHARE = {"lepu270": 0.55, "fiti832": 0.17, "xapu221": 0.0}
PAUSE_S = 0.65  # Of a session between two statements.
CALM_S = 8.0
CRASH_S = 5.0  # At most 7.0 on the site.
NO_ANSWER_S = 7.0  # Of the promote call.
DOWN_S = 0.9  # Of all proxies, at the final fault.
RECOVER_S = 12.0  # RecoverS of the site.
JUDGED_S = 15.0


class Database(standins.Database):
    """Adds PAUSE and RESUME, a crash from which it comes back with its log, and commits whose client has closed: their
    connection and their slot are free at once."""

    paused = False
    admitted = 0  # Statements that have a slot or wait for one.

    async def start(self):
        self.slots = asyncio.Semaphore(self.service.slots)
        await super().start()
        self.port = int(self.address.rsplit(":", 1)[1])

    async def come_back(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=2 << 20)
        self.born = int(standins.time.time() * 1000)
        self.sequence = 0
        self.has_crashed = False
        self.record.write("back", db=self.id, log=len(self.log))

    async def beat(self, store):
        """As its base, and goes on after a crash. Its entry is removed after three heartbeats of silence."""
        shown, due, silent_since = None, 0.0, None
        while True:
            present = (self.state, self.is_primary(), self.born)
            if self.has_crashed:
                silent_since = silent_since or standins.now()
                if standins.now() - silent_since > 3 * 1.2 and shown is not None:
                    shown = None
                    await store.remove("servers", self.id)
            elif shown != present or standins.now() >= due:
                shown, due, silent_since = present, standins.now() + 1.2, None
                self.sequence += 1
                await store.write("servers", self.id, self.entry())
            await asyncio.sleep(0.02)

    def stop_receiving(self):
        self.paused = True
        self.hold = self.hold or asyncio.Event()

    def receive_again(self):
        self.paused = False
        hold, self.hold = self.hold, None
        if hold is not None:
            hold.set()

    async def run(self, connection, query, text):
        word = text.split(" ")[0]
        if word not in ("PAUSE", "RESUME"):
            return await super().run(connection, query, text)
        if self.busy >= self.service.slots:
            return "ERR BUSY slots\r\n"
        if word == "RESUME":
            self.receive_again()
        elif self.is_primary() or int(text.split(" ")[1]) <= self.term:
            return self.error(connection, "MALFORMED")
        else:
            self.stop_receiving()
        self.record.write("db-" + word.lower(), db=self.id, host=connection.tag)
        return await super().run(connection, query, "STATUS")

    async def run_statement(self, connection, query, words):
        """Each read, write and commit occupies a slot until it is answered; so many more wait for one."""
        if self.admitted >= self.service.slots + self.service.queue:
            return "ERR BUSY slots\r\n"
        self.admitted += 1
        try:
            async with self.slots:
                return await super().run_statement(connection, query, words)
        finally:
            self.admitted -= 1

    async def serve(self, reader, writer):
        """Ends with the connection, also while a commit waits for a replica."""
        served = asyncio.create_task(super().serve(reader, writer))
        while not served.done():
            await asyncio.wait([served], timeout=0.02)
            if not served.done() and reader.at_eof():
                served.cancel()
                break
        await asyncio.gather(served, return_exceptions=True)


class PromoteCall(standins.PromoteCall):
    is_silent = False

    async def handle(self, method, path, query, headers, body):
        if self.is_silent:
            self.record.write("promote-call-unanswered", holder=headers["x-lease-holder"], token=headers["x-fencing-token"])
            await asyncio.sleep(3600)
        order = standins.json.loads(body)
        answer = await super().handle(method, path, query, headers, body)
        if answer[0] == 200 and self.services[order["Service"]].primary.id != order["Id"]:
            asyncio.create_task(self.let_all_receive(order["Service"]))
        return answer

    async def let_all_receive(self, service):
        """A promote ends each PAUSE."""
        await asyncio.sleep(self.services[service].promote_s + 0.01)
        for database in self.services[service].databases:
            database.receive_again()


async def use(fleet, host, name, sent):
    """One session that runs single statements in turn; each is counted with the time of its sending."""
    while True:
        client = standins.Client(fleet.record, fleet.address(host, 8784), name)
        try:
            await client.open()
            while True:
                query = standins.new_id()
                writes = random.random() < WRITE_SHARE[name]
                item = f"{random.randint(0, 1999):x}"
                entry = [standins.now(), False]
                sent.append(entry)
                lines, _ = await client.query(query, f"WRITE {item} {query}" if writes else f"READ {item}")
                if lines is None:
                    break
                entry[1] = lines[-1].startswith("DONE")
                await asyncio.sleep(PAUSE_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        client.close()
        await asyncio.sleep(0.2)


def share(sent, begin, end):
    picked = [served for at, served in sent if begin <= at < end]
    return sum(picked) / max(1, len(picked)), len(picked)


async def case(fleet, trouble):
    sent = []
    begin = standins.now()
    users = []
    for name, count in SESSIONS.items():
        users += [asyncio.create_task(use(fleet, n % HOSTS, name, sent)) for n in range(count)]
    await asyncio.sleep(CALM_S)
    primary = fleet.service.primary
    if trouble:
        fleet.promote.is_silent = True
        await primary.crash()
        await asyncio.sleep(CRASH_S)
        await primary.come_back()
        await asyncio.sleep(NO_ANSWER_S - CRASH_S)
        fleet.promote.is_silent = False
    else:
        await asyncio.sleep(NO_ANSWER_S)
    await asyncio.sleep(1.0)
    final = standins.now()
    for host in range(HOSTS):
        fleet.signal(host, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    if not await fleet.start_proxies():
        raise RuntimeError("the proxies did not become ready again")
    back = standins.now()
    await asyncio.sleep(RECOVER_S + JUDGED_S + 1.0)
    for user in users:
        user.cancel()
    await asyncio.gather(*users, return_exceptions=True)
    before, n_before = share(sent, begin, final)
    after, n_after = share(sent, back + RECOVER_S, back + RECOVER_S + JUDGED_S)
    stopped = [it.id for it in fleet.service.databases if it.paused]
    for host in range(HOSTS):
        log = fleet.proxy_log(host)
        fleet.record.write("proxy-log", host=host, status_refused=log.count('"status_refused"'), members_resumed=log.count('"members_resumed"'))
    print(f"served before the final fault: {before:.3f} of {n_before}; later than {RECOVER_S:.0f} s after the machines were back: {after:.3f} of {n_after}; "
          f"primary {fleet.service.primary.id}, stopped replicas: {stopped}, unanswered and answered promote calls in record.txt")
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {after:.3f} of {n_after} requests were served, {before:.3f} before; stopped replicas: {stopped}"]
    return []


standins.Database = Database
standins.PromoteCall = PromoteCall
standins.run_case(FOLDER, HOSTS, case, sync=1)
