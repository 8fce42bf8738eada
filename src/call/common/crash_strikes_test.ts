import test from "ava";
import { CrashStrikes } from "./crash_strikes.ts";

function contentOf(text: string, caller = "p") {
  return { method: "POST", target: "/x", body: Buffer.from(text), caller };
}

test("only a request with three crashes is refused", (t) => {
  const crashCounter = new CrashStrikes(() => 0);
  for (let i = 0; i < 2; i++) crashCounter.noteCrash(contentOf("bad"));
  t.false(crashCounter.isCrashing(contentOf("bad")));
  crashCounter.noteCrash(contentOf("bad"));
  t.true(crashCounter.isCrashing(contentOf("bad")));
  t.false(crashCounter.isCrashing(contentOf("good")));
});

test("crash counts of different instances are added", (t) => {
  const [a, b, c] = [1, 2, 3].map(() => new CrashStrikes(() => 0));
  for (const crashCounter of [a, b, c]) crashCounter.noteCrash(contentOf("bad"));
  c.noteReport("a", a.own());
  c.noteReport("b", b.own());
  c.noteReport("b", b.own());
  t.true(c.isCrashing(contentOf("bad")));
  t.false(a.isCrashing(contentOf("bad")));
});

test("a completed request is cleared on this and the other instances", (t) => {
  const [a, b] = [1, 2].map(() => new CrashStrikes(() => 0));
  for (let i = 0; i < 3; i++) a.noteCrash(contentOf("bad"));
  b.noteReport("a", a.own());
  t.true(b.isCrashing(contentOf("bad")));
  a.notePass(contentOf("bad"));
  b.noteReport("a", a.own());
  t.false(b.isCrashing(contentOf("bad")));
});

test("crashes of indistinguishable requests are not counted", (t) => {
  const crashCounter = new CrashStrikes(() => 0);
  for (let i = 0; i < 5; i++) crashCounter.noteCrash(contentOf("", ""));
  t.false(crashCounter.isCrashing(contentOf("", "")));
});

test("crash counts expire", (t) => {
  const clock = { now: 0 };
  const crashCounter = new CrashStrikes(() => clock.now);
  for (let i = 0; i < 3; i++) crashCounter.noteCrash(contentOf("bad"));
  clock.now = 61_000;
  t.false(crashCounter.isCrashing(contentOf("bad")));
  t.deepEqual(crashCounter.own(), []);
});
