import test from "ava";
import { SurvivalTracker } from "./survival_tracker.ts";

const SERVER = { backendId: "s", startedAtMs: 1 };
const RESTARTED = { backendId: "s", startedAtMs: 2 };

function setUp() {
  const clock = { now: 0 };
  return { clock, tracker: new SurvivalTracker<string>(() => clock.now) };
}

test("a server has survived an event after two heartbeats, three seconds later or more", (t) => {
  const { clock, tracker } = setUp();
  tracker.add(SERVER, "a");
  clock.now = 2999;
  for (let i = 0; i < 3; i++) t.deepEqual(tracker.recordHeartbeat(SERVER), []);
  clock.now = 3000;
  t.deepEqual(tracker.recordHeartbeat(SERVER), []);
  t.deepEqual(tracker.recordHeartbeat(SERVER), ["a"]);
  t.deepEqual(tracker.recordEnd(SERVER), []);
});

test("heartbeats and the end of another run of the server are ignored", (t) => {
  const { clock, tracker } = setUp();
  tracker.add(SERVER, "a");
  clock.now = 5000;
  for (let i = 0; i < 3; i++) t.deepEqual(tracker.recordHeartbeat(RESTARTED), []);
  t.deepEqual(tracker.recordEnd(RESTARTED), []);
  t.deepEqual(tracker.recordEnd(SERVER), ["a"]);
});

test("events are forgotten after a while, or if there are too many", (t) => {
  const { clock, tracker } = setUp();
  for (let index = 0; index < 201; index++) tracker.add(SERVER, String(index));
  t.is(tracker.recordEnd(SERVER)[0], "1");
  tracker.add(SERVER, "old");
  clock.now = 60_001;
  tracker.evict();
  t.is(tracker.size, 0);
});
