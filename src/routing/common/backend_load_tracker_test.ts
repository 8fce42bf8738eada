import test from "ava";
import { BackendLoadTracker } from "./backend_load_tracker.ts";

function makeTracker() {
  const clock = { now: 1000 };
  return { clock, loads: new BackendLoadTracker(() => clock.now) };
}

test("requests that are given up during one silence of a server show one failure", (t) => {
  const { clock, loads } = makeTracker();
  const sentAtMs = [1000, 1100, 1200, 1700];
  clock.now = 1800;
  t.deepEqual(sentAtMs.map((sinceMs) => loads.recordSilence("b", sinceMs)), [true, false, false, false]);
});

test("requests that were sent after a silence was recorded show another failure", (t) => {
  const { clock, loads } = makeTracker();
  clock.now = 1800;
  t.true(loads.recordSilence("b", 1000));
  clock.now = 2600;
  t.true(loads.recordSilence("b", 1900));
  t.false(loads.recordSilence("b", 1850));
});

test("each request counts that a server leaves unanswered while it answers others", (t) => {
  const { clock, loads } = makeTracker();
  for (const sinceMs of [1000, 1100, 1200]) {
    clock.now += 300;
    t.true(loads.recordSilence("b", sinceMs));
    clock.now += 1;
    loads.recordResponse("b");
  }
});
