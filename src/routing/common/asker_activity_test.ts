import test from "ava";
import { AskerActivity } from "./asker_activity.ts";

function play(
  askers: readonly string[],
  { activity, fromMs, untilMs }: { activity: AskerActivity; fromMs: number; untilMs: number },
): void {
  for (let now = fromMs; now < untilMs; now += 20) for (const name of askers) activity.record(name, now);
}

test("instances that fall silent reduce the share that is heard, until they are forgotten", (t) => {
  const activity = new AskerActivity("a");
  play(["a", "b", "c", "d"], { activity, fromMs: 0, untilMs: 2000 });
  t.is(activity.heardShare(2000), 1);
  t.is(activity.heardCount(2000), 4);
  play(["a", "b", "c"], { activity, fromMs: 2000, untilMs: 3000 });
  t.true(activity.heardShare(3000) < 0.85);
  t.is(activity.heardCount(3000), 3);
  play(["a", "b", "c"], { activity, fromMs: 3000, untilMs: 13_000 });
  t.is(activity.heardShare(13_000), 1);
});

test("an instance that is cut off from all others knows it for as long as that lasts", (t) => {
  const activity = new AskerActivity("a");
  play(["a", "b", "c"], { activity, fromMs: 0, untilMs: 2000 });
  play(["a"], { activity, fromMs: 2000, untilMs: 20_000 });
  t.true(activity.heardShare(20_000) < 0.75);
  t.is(activity.heardCount(20_000), 1);
});

test("an instance that seldom asks is not taken for silent", (t) => {
  const activity = new AskerActivity("a");
  for (let now = 0; now <= 20_000; now += 2000) activity.record("b", now);
  play(["a", "c"], { activity, fromMs: 0, untilMs: 21_000 });
  t.is(activity.heardShare(21_000), 1);
});
