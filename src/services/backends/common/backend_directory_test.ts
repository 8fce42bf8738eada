import test from "ava";
import { NullLogger } from "../../logging/common/logger.ts";
import type { IBackendEntry } from "./backend_directory.ts";
import { BackendDirectory } from "./backend_directory.ts";
import { LeavingServers } from "./leaving_servers.ts";

function entryOf(id: string, overrides: Partial<IBackendEntry> = {}): IBackendEntry {
  const defaults = {
    service: "s",
    host: "h",
    port: 1,
    zone: "z",
    slots: 4,
    isDraining: false,
    startedAtMs: 1,
  };
  return { id, ...defaults, ...overrides };
}

function setUp() {
  const clock = { now: 0 };
  const logger = new NullLogger();
  const now = () => clock.now;
  const leaving = new LeavingServers(logger, now);
  const directory = new BackendDirectory(logger, { now, leaving });
  const removed: string[] = [];
  directory.onDidRemove(({ id }) => removed.push(id));
  const available = () => directory.listAvailable("s").map(({ id }) => id);
  return { clock, directory, leaving, removed, available };
}

test("a draining server is not available for new requests but stays listed", (t) => {
  const { directory, available, removed } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("a", { isDraining: true }));
  t.deepEqual(available(), []);
  t.deepEqual(removed, []);
});

test("an entry that lapsed during an outage stays available for the grace period", (t) => {
  const { clock, directory, available } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("b"));
  directory.remove("a", { mayBeLapsed: true });
  directory.remove("b", { mayBeLapsed: true });
  t.deepEqual(available(), ["a", "b"]);
  clock.now = 1000;
  directory.put(entryOf("b"));
  clock.now = 2500;
  t.deepEqual(available(), ["b"]);
});

test("an entry that is removed outside an outage is removed immediately", (t) => {
  const { directory, available, removed } = setUp();
  directory.put(entryOf("a"));
  directory.remove("a", { mayBeLapsed: false });
  t.deepEqual(available(), []);
  t.deepEqual(removed, ["a"]);
});

test("a server that restarts under the same id is reported as removed", (t) => {
  const { directory, removed } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("a", { startedAtMs: 2 }));
  t.deepEqual(removed, ["a"]);
});

const RUN_1 = { backendId: "a", startedAtMs: 1 };

test("a server that announces that it leaves is not available, whatever the list says", (t) => {
  const { directory, leaving, available } = setUp();
  const entry = entryOf("a");
  directory.put(entry);
  t.true(directory.isAvailable(entry));
  leaving.recordAnnouncement(RUN_1);
  t.false(directory.isAvailable(entry));
  t.deepEqual(available(), []);
  directory.put(entry);
  t.deepEqual(available(), [], "renewed by a heartbeat");
  directory.remove("a", { mayBeLapsed: false });
  directory.put(entry);
  t.deepEqual(available(), [], "listed again");
  directory.put(entryOf("a", { startedAtMs: 0 }));
  t.deepEqual(available(), [], "an older run");
});

test("a new run of a server that left is available, also under the same id", (t) => {
  const { directory, leaving, available } = setUp();
  directory.put(entryOf("a"));
  leaving.merge(RUN_1);
  const restarted = entryOf("a", { startedAtMs: 2 });
  directory.put(restarted);
  t.deepEqual(available(), ["a"]);
  t.true(directory.isAvailable(restarted));
  t.false(directory.isAvailable(entryOf("a")), "chosen before the restart");
  leaving.merge(RUN_1);
  t.deepEqual(available(), ["a"], "a late report about the former run");
});

test("an announcement that arrives before the server is listed counts", (t) => {
  const { directory, leaving, available } = setUp();
  leaving.merge(RUN_1);
  directory.put(entryOf("a"));
  t.deepEqual(available(), []);
});

test("the entry of a leaving server is removed at once, also if it may have lapsed", (t) => {
  const { directory, leaving, removed } = setUp();
  directory.put(entryOf("a"));
  leaving.recordAnnouncement(RUN_1);
  directory.remove("a", { mayBeLapsed: true });
  t.deepEqual(removed, ["a"]);
});

test("only recent announcements to this instance are reported to the others", (t) => {
  const { clock, leaving } = setUp();
  leaving.recordAnnouncement(RUN_1);
  leaving.merge({ backendId: "b", startedAtMs: 1 });
  t.deepEqual(leaving.listRecent(), [RUN_1]);
  t.is(leaving.list().length, 2);
  clock.now = 3500;
  t.deepEqual(leaving.listRecent(), []);
  t.is(leaving.list().length, 2);
});
