import test from "ava";
import { CrashCounter } from "./crash_counter.ts";

function contentOf(text: string, caller = "p") {
  return { method: "POST", target: "/x", body: Buffer.from(text), caller };
}

test("only a request with three crashes is refused", (t) => {
  const crashCounter = new CrashCounter(() => 0);
  for (let i = 0; i < 2; i++) crashCounter.recordCrash(contentOf("bad"));
  t.false(crashCounter.hasReachedLimit(contentOf("bad")));
  crashCounter.recordCrash(contentOf("bad"));
  t.true(crashCounter.hasReachedLimit(contentOf("bad")));
  t.false(crashCounter.hasReachedLimit(contentOf("good")));
});

test("crash counts of different instances are added", (t) => {
  const [a, b, c] = [1, 2, 3].map(() => new CrashCounter(() => 0));
  for (const crashCounter of [a, b, c]) crashCounter.recordCrash(contentOf("bad"));
  c.recordPeerCounts("a", a.localCounts());
  c.recordPeerCounts("b", b.localCounts());
  c.recordPeerCounts("b", b.localCounts());
  t.true(c.hasReachedLimit(contentOf("bad")));
  t.false(a.hasReachedLimit(contentOf("bad")));
});

test("a completed request is cleared on this and the other instances", (t) => {
  const [a, b] = [1, 2].map(() => new CrashCounter(() => 0));
  for (let i = 0; i < 3; i++) a.recordCrash(contentOf("bad"));
  b.recordPeerCounts("a", a.localCounts());
  t.true(b.hasReachedLimit(contentOf("bad")));
  a.recordSuccess(contentOf("bad"));
  b.recordPeerCounts("a", a.localCounts());
  t.false(b.hasReachedLimit(contentOf("bad")));
});

test("crashes of indistinguishable requests are not counted", (t) => {
  const crashCounter = new CrashCounter(() => 0);
  for (let i = 0; i < 5; i++) crashCounter.recordCrash(contentOf("", ""));
  t.false(crashCounter.hasReachedLimit(contentOf("", "")));
});

test("crash counts expire", (t) => {
  const clock = { now: 0 };
  const crashCounter = new CrashCounter(() => clock.now);
  for (let i = 0; i < 3; i++) crashCounter.recordCrash(contentOf("bad"));
  clock.now = 61_000;
  t.false(crashCounter.hasReachedLimit(contentOf("bad")));
  t.deepEqual(crashCounter.localCounts(), []);
});
