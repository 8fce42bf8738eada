import test from "ava";
import type { IStrike } from "./strike_ledger.ts";
import { strikeKey, StrikeLedger } from "./strike_ledger.ts";

function setUp() {
  const clock = { now: 0 };
  return { clock, ledger: new StrikeLedger(() => clock.now) };
}

function strikeOf(fingerprint: bigint, level: number, overrides: Partial<IStrike> = {}): IStrike {
  return { fingerprint, level, backendId: `b${level}`, startedAtMs: 1, atMs: 0, ...overrides };
}

test("a request is quarantined from its third crash on, once the reports of others can have arrived", (t) => {
  const { clock, ledger } = setUp();
  for (const level of [1, 2]) ledger.add(strikeOf(7n, level));
  clock.now = 1000;
  t.false(ledger.isQuarantined(7n));
  ledger.add(strikeOf(7n, 3, { atMs: 1000 }));
  t.false(ledger.isQuarantined(7n));
  clock.now = 1500;
  t.true(ledger.isQuarantined(7n));
  t.false(ledger.isQuarantined(8n));
  t.is(ledger.quarantinedCount, 1);
});

test("a request that returns faster than instances report is quarantined at its fifth crash", (t) => {
  const { ledger } = setUp();
  for (const level of [1, 2, 3, 4]) ledger.add(strikeOf(7n, level));
  t.false(ledger.isQuarantined(7n));
  ledger.add(strikeOf(7n, 5));
  t.true(ledger.isQuarantined(7n));
});

test("strikes that an instance reads when it starts count immediately", (t) => {
  const { clock, ledger } = setUp();
  clock.now = 20_000;
  for (const level of [1, 2, 3]) ledger.add(strikeOf(7n, level, { atMs: 10_000 }));
  t.true(ledger.isQuarantined(7n));
});

test("concurrent attempts of a request that has completed before do not add up when many servers are lost", (t) => {
  const { clock, ledger } = setUp();
  ledger.recordProven(7n);
  for (const backendId of ["a", "b", "c", "d", "e"]) ledger.add(strikeOf(7n, 1, { backendId }));
  clock.now = 1000;
  t.is(ledger.levelOf(7n), 1);
  t.false(ledger.isQuarantined(7n));
  for (const level of [2, 3]) ledger.add(strikeOf(7n, level));
  clock.now = 2000;
  t.true(ledger.isQuarantined(7n));
});

test("crashes that become known only after the next attempt was sent add up", (t) => {
  const { clock, ledger } = setUp();
  for (const backendId of ["a", "b", "c"]) ledger.add(strikeOf(7n, 1, { backendId }));
  clock.now = 1000;
  t.true(ledger.isQuarantined(7n));
});

test("a request whose crashes another request explains needs two more of them", (t) => {
  const { clock, ledger } = setUp();
  for (const level of [1, 2, 3]) for (const fingerprint of [7n, 8n]) ledger.add(strikeOf(fingerprint, level));
  clock.now = 1000;
  t.false(ledger.isQuarantined(7n));
  t.false(ledger.isQuarantined(8n));
  ledger.add(strikeOf(7n, 4));
  clock.now = 2000;
  t.true(ledger.isQuarantined(7n));
  t.false(ledger.isQuarantined(8n));
});

test("requests that explain each other's crashes are tried again after a while, one by one", (t) => {
  const { clock, ledger } = setUp();
  const fingerprints = [1024n, 1536n];
  for (const level of [1, 2, 3, 4, 5]) {
    for (const fingerprint of fingerprints) ledger.add(strikeOf(fingerprint, level));
  }
  clock.now = 1900;
  t.deepEqual(fingerprints.map((fingerprint) => ledger.isQuarantined(fingerprint)), [true, true]);
  clock.now = 2000;
  t.deepEqual(fingerprints.map((fingerprint) => ledger.isQuarantined(fingerprint)), [false, true]);
  ledger.add(strikeOf(1024n, 6));
  clock.now = 10_000;
  t.deepEqual(fingerprints.map((fingerprint) => ledger.isQuarantined(fingerprint)), [true, false]);
});

test("a request that is refused for a while states for how long, one that crashes servers does not", (t) => {
  const { clock, ledger } = setUp();
  for (const level of [1, 2, 3, 4, 5]) {
    for (const fingerprint of [1024n, 1536n]) {
      ledger.add(strikeOf(fingerprint, level));
    }
  }
  t.is(ledger.heldBackMs(1024n), 2000);
  t.is(ledger.heldBackMs(1536n), 3000);
  clock.now = 1900;
  t.is(ledger.heldBackMs(1024n), 100);
  ledger.add(strikeOf(1024n, 6, { backendId: "alone" }));
  t.is(ledger.heldBackMs(1024n), undefined);
});

test("a crash explains another one that an instance attributes to an earlier run of the server", (t) => {
  const { clock, ledger } = setUp();
  for (const level of [1, 2, 3]) {
    ledger.add(strikeOf(7n, level, { startedAtMs: 1, atMs: 100 }));
    ledger.add(strikeOf(8n, level, { startedAtMs: 2, atMs: 200 }));
  }
  clock.now = 1000;
  t.false(ledger.isQuarantined(7n));
  t.false(ledger.isQuarantined(8n));
});

test("a further crash of a server whose restart was not noticed counts", (t) => {
  const { clock, ledger } = setUp();
  for (const level of [1, 2, 3]) t.true(ledger.add(strikeOf(7n, level, { backendId: "same" })));
  t.false(ledger.add(strikeOf(7n, 2, { backendId: "same" })));
  clock.now = 1000;
  t.is(ledger.size, 1);
  t.true(ledger.isQuarantined(7n));
});

test("a withdrawn strike does not return with a late copy", (t) => {
  const { ledger } = setUp();
  const strike = strikeOf(7n, 1);
  ledger.add(strike);
  t.deepEqual(ledger.withdraw(strikeKey(strike)), strike);
  t.is(ledger.levelOf(7n), 0);
  t.false(ledger.add(strike));
  t.is(ledger.levelOf(7n), 0);
});

test("strikes expire, and the oldest ones are evicted above the maximum number", (t) => {
  const { clock, ledger } = setUp();
  for (let index = 0; index < 4002; index++) ledger.add(strikeOf(BigInt(index), 1));
  t.deepEqual(ledger.evict().map(({ fingerprint }) => fingerprint), [0n, 1n]);
  clock.now = 31 * 60_000;
  t.is(ledger.evict().length, 4000);
  t.is(ledger.size, 0);
  t.false(ledger.add(strikeOf(7n, 1)));
});
