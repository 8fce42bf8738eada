import test from "ava";
import { AllotmentShare } from "./allotment_share.ts";

function makeShares(instances: number) {
  const clock = { nowMs: 0 };
  let state = 17;
  const random = () => (state = state * 48271 % 2147483647) / 2147483647;
  const shares = Array.from(
    { length: instances },
    () => new AllotmentShare({ now: () => clock.nowMs, random, slackRequests: 20 }),
  );
  return { clock, shares };
}

for (const instances of [3, 12, 65, 400]) {
  test(`${instances} instances on their own grant half the allotment together, also after a pause`, (t) => {
    const { clock, shares } = makeShares(instances);
    const allotment = { perSecond: 10, burst: 10 };
    const count = (fromMs: number, untilMs: number) => {
      let granted = 0;
      for (clock.nowMs = fromMs; clock.nowMs < untilMs; clock.nowMs += 50) {
        granted += shares.filter((share) => share.acquire("o", { allotment, instances })).length;
      }
      return granted;
    };
    const steady = count(0, 60_000);
    t.true(steady >= 240 && steady <= 360, `${steady} in 60 s`);
    // The rule allows 86 in 5 s, of which the owner may grant 60 and half of the slack.
    const afterPause = count(90_000, 95_000);
    t.true(afterPause <= 60, `${afterPause} in 5 s after a pause`);
  });
}
