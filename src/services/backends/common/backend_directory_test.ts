import test from "ava";
import { NullLogger } from "../../logging/common/logger.ts";
import type { IBackendEntry } from "./backend_directory.ts";
import { BackendDirectory } from "./backend_directory.ts";

function entryOf(id: string, more: Partial<IBackendEntry> = {}): IBackendEntry {
  const rest = { service: "s", host: "h", port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 1 };
  return { id, ...rest, ...more };
}

function setUp() {
  const clock = { now: 0 };
  const directory = new BackendDirectory(new NullLogger(), () => clock.now);
  const removed: string[] = [];
  directory.onDidRemove(({ id }) => removed.push(id));
  const usable = () => directory.usable("s").map(({ id }) => id);
  return { clock, directory, removed, usable };
}

test("a draining server gets no new work, but stays listed", (t) => {
  const { directory, usable, removed } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("a", { isDraining: true }));
  t.deepEqual(usable(), []);
  t.deepEqual(removed, []);
});

test("an entry that lapsed during an outage counts until servers had time to be listed again", (t) => {
  const { clock, directory, usable } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("b"));
  directory.remove("a", { mayBeLapsed: true });
  directory.remove("b", { mayBeLapsed: true });
  t.deepEqual(usable(), ["a", "b"]);
  clock.now = 1000;
  directory.put(entryOf("b"));
  clock.now = 2500;
  t.deepEqual(usable(), ["b"]);
});

test("an entry that is removed in calm is gone at once", (t) => {
  const { directory, usable, removed } = setUp();
  directory.put(entryOf("a"));
  directory.remove("a", { mayBeLapsed: false });
  t.deepEqual(usable(), []);
  t.deepEqual(removed, ["a"]);
});

test("a server that starts anew under its identity has forgotten everything", (t) => {
  const { directory, removed } = setUp();
  directory.put(entryOf("a"));
  directory.put(entryOf("a", { startedAtMs: 2 }));
  t.deepEqual(removed, ["a"]);
});
