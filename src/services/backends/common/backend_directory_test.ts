import test from "ava";
import { NullLogger } from "../../logging/common/logger.ts";
import type { IBackendEntry } from "./backend_directory.ts";
import { BackendDirectory } from "./backend_directory.ts";

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
  const directory = new BackendDirectory(new NullLogger(), () => clock.now);
  const removed: string[] = [];
  directory.onDidRemove(({ id }) => removed.push(id));
  const available = () => directory.listAvailable("s").map(({ id }) => id);
  return { clock, directory, removed, available };
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
