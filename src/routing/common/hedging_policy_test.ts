import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IHedgingSettings } from "./hedging_policy.ts";
import { HedgingPolicy } from "./hedging_policy.ts";

const SETTINGS: IHedgingSettings = {
  maxExtraSends: 0.02,
  quantile: 0.95,
  minDelayMs: 5,
  maxUtilization: 0.6,
  routes: [],
};

/** A policy with its clock. */
class Play {
  nowMs = 0;
  readonly policy: HedgingPolicy;

  constructor(settings: Partial<IHedgingSettings> = {}) {
    this.policy = new HedgingPolicy({ ...SETTINGS, ...settings }, () => this.nowMs);
  }

  record(count: number, latencyMs: (index: number) => number): void {
    for (let index = 0; index < count; index++) this.policy.recordLatency("r", latencyMs(index));
  }
}

test("the delay is the quantile of the last 10 to 20 s, and at least the minimum", (t) => {
  const play = new Play();
  play.record(100, (index) => index < 90 ? 40 : 200);
  t.is(play.policy.delayMs("r"), 201);
  play.nowMs = 10_000;
  play.record(300, () => 50);
  t.is(play.policy.delayMs("r"), 51, "10 of 400 are slow");
  play.nowMs = 20_000;
  t.is(play.policy.delayMs("r"), 51, "the first period is forgotten");
  play.nowMs = 60_000;
  t.is(play.policy.delayMs("r"), undefined, "no sample is recent");
  play.record(100, () => 1);
  t.is(play.policy.delayMs("r"), 5);
  t.is(play.policy.delayMs("other"), undefined);
});

test("there is no delay with fewer than 50 samples, or fewer than two beyond the quantile", (t) => {
  const play = new Play();
  play.record(49, () => 10);
  t.is(play.policy.delayMs("r"), undefined);
  play.record(1, () => 10);
  play.nowMs = 250;
  t.is(play.policy.delayMs("r"), 11);
  const high = new Play({ quantile: 0.99 });
  high.record(199, () => 10);
  t.is(high.policy.delayMs("r"), undefined);
  high.record(2, () => 10);
  high.nowMs = 250;
  t.is(high.policy.delayMs("r"), 11);
});

test("samples of other instances count as own ones, and each sample is reported once", (t) => {
  const [sender, receiver] = [new Play(), new Play()];
  for (let report = 0; report < 2; report++) {
    sender.record(30, (index) => 20 + index % 2);
    receiver.policy.recordReportedSamples(sender.policy.takeUnreportedSamples());
  }
  t.is(receiver.policy.delayMs("r"), sender.policy.delayMs("r"));
  t.is(receiver.policy.delayMs("r"), 22);
  t.deepEqual(sender.policy.takeUnreportedSamples(), []);
  t.deepEqual(receiver.policy.takeUnreportedSamples(), [], "reported samples are not passed on");
});

test("a report has at most 32 samples, and the oldest ones are dropped and counted", (t) => {
  const { policy } = new Play();
  let dropped = 0;
  policy.onDidDropSample(() => dropped += 1);
  for (let index = 0; index < 40; index++) policy.recordLatency("r", index);
  const samples = policy.takeUnreportedSamples();
  t.deepEqual(samples.map(({ latencyMs }) => latencyMs), Array.from({ length: 32 }, (_, index) => index + 8));
  t.is(dropped, 8);
});

test("nothing is hedged above the maximum utilization, or without servers", (t) => {
  const { policy } = new Play();
  const backends = ["a", "b"].map((id) => ({ id, slots: 10 }) as IBackendEntry);
  const isIdleEnough = (a: number, b: number) =>
    policy.isIdleEnough(backends, { running: (id) => id === "a" ? a : b });
  t.true(isIdleEnough(10, 2));
  t.false(isIdleEnough(10, 3));
  t.false(policy.isIdleEnough([], { running: () => 0 }));
});

test("only requests to the configured hosts and path prefixes are hedged", (t) => {
  const { policy } = new Play({ routes: ["h/a/", "i/"] });
  t.true(policy.includes("h", "/a/b"));
  t.true(policy.includes("i", "/x"));
  t.false(policy.includes("h", "/b"));
  t.true(new Play().policy.includes("h", "/b"));
});
