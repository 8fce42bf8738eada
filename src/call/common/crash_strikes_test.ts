import test from "ava";
import { CrashStrikes } from "./crash_strikes.ts";

function contentOf(text: string, caller = "p") {
  return { method: "POST", target: "/x", body: Buffer.from(text), caller };
}

test("a request is refused after its third crash, others are not", (t) => {
  const strikes = new CrashStrikes(() => 0);
  for (let i = 0; i < 2; i++) strikes.noteCrash(contentOf("bad"));
  t.false(strikes.isCrashing(contentOf("bad")));
  strikes.noteCrash(contentOf("bad"));
  t.true(strikes.isCrashing(contentOf("bad")));
  t.false(strikes.isCrashing(contentOf("good")));
});

test("crashes that different instances saw add up", (t) => {
  const [a, b, c] = [1, 2, 3].map(() => new CrashStrikes(() => 0));
  for (const strikes of [a, b, c]) strikes.noteCrash(contentOf("bad"));
  c.noteReport("a", a.own());
  c.noteReport("b", b.own());
  c.noteReport("b", b.own());
  t.true(c.isCrashing(contentOf("bad")));
  t.false(a.isCrashing(contentOf("bad")));
});

test("a request that passes is cleared, here and on the others", (t) => {
  const [a, b] = [1, 2].map(() => new CrashStrikes(() => 0));
  for (let i = 0; i < 3; i++) a.noteCrash(contentOf("bad"));
  b.noteReport("a", a.own());
  t.true(b.isCrashing(contentOf("bad")));
  a.notePass(contentOf("bad"));
  b.noteReport("a", a.own());
  t.false(b.isCrashing(contentOf("bad")));
});

test("requests without content of their own are never taken for one", (t) => {
  const strikes = new CrashStrikes(() => 0);
  for (let i = 0; i < 5; i++) strikes.noteCrash(contentOf("", ""));
  t.false(strikes.isCrashing(contentOf("", "")));
});

test("crashes are forgotten after a while", (t) => {
  const clock = { now: 0 };
  const strikes = new CrashStrikes(() => clock.now);
  for (let i = 0; i < 3; i++) strikes.noteCrash(contentOf("bad"));
  clock.now = 61_000;
  t.false(strikes.isCrashing(contentOf("bad")));
  t.deepEqual(strikes.own(), []);
});
