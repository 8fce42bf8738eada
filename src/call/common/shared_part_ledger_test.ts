import test from "ava";
import type { IRequestKey } from "./request_keys.ts";
import { ContentPart } from "./request_keys.ts";
import type { IStrike } from "./strike_ledger.ts";
import { StrikeLedger } from "./strike_ledger.ts";

const TARGET: IRequestKey = { hash: 1n, parts: ContentPart.Target };
const BODY: IRequestKey = { hash: 2n, parts: ContentPart.Body };
const BOTH: IRequestKey = { hash: 3n, parts: ContentPart.Target | ContentPart.Body };
/** After the strikes of a crash have settled, and before a trial. */
const SETTLED_MS = 600;

function setUp() {
  const clock = { now: 0 };
  const ledger = new StrikeLedger(() => clock.now);
  const crash = (backendId: string, fingerprint: bigint, keys: readonly IRequestKey[]): IStrike => {
    const suspected = ledger.suspectedAmong(keys);
    const marked = keys.map((key) => ({ ...key, wasSuspected: suspected.includes(key) }));
    const strike = { fingerprint, level: 1, backendId, startedAtMs: 1, atMs: clock.now, keys: marked };
    ledger.add(strike);
    clock.now += SETTLED_MS;
    return strike;
  };
  const isRefused = (keys: readonly IRequestKey[], isTried = false) =>
    ledger.sharedCauseOf(keys, () => isTried) !== undefined;
  return { clock, ledger, crash, isRefused };
}

test("a part that different requests share is refused from its third crash on", (t) => {
  const { crash, isRefused } = setUp();
  crash("b1", 11n, [TARGET]);
  crash("b2", 12n, [TARGET]);
  t.false(isRefused([TARGET]));
  crash("b3", 13n, [TARGET]);
  t.true(isRefused([TARGET]));
  t.false(isRefused([BODY]));
});

test("servers that are lost at the same moment do not make a part they share the cause", (t) => {
  const { clock, ledger, isRefused } = setUp();
  for (let index = 0; index < 8; index++) {
    const rest = { level: 1, startedAtMs: 1, atMs: index * 20, keys: [TARGET] };
    ledger.add({ fingerprint: BigInt(index), backendId: `b${index}`, ...rest });
  }
  clock.now = SETTLED_MS;
  t.false(isRefused([TARGET]));
});

test("a crash of a server whose restart has not been noticed is another one than that of its earlier run", (t) => {
  for (const [sentAtMs, expected] of [[2500, true], [50, false]] as const) {
    const { clock, ledger, isRefused } = setUp();
    const strike = (fingerprint: bigint, rest: { sentAtMs: number; atMs: number }) => {
      clock.now = rest.atMs;
      ledger.add({ fingerprint, backendId: "b1", startedAtMs: 1, level: 1, keys: [TARGET], ...rest });
    };
    strike(1n, { sentAtMs: 60, atMs: 100 });
    strike(2n, { sentAtMs: 2000, atMs: 2030 });
    strike(3n, { sentAtMs, atMs: 2600 });
    clock.now += SETTLED_MS;
    t.is(isRefused([TARGET]), expected);
  }
});

test("a crash is not explained by a request that ended the server's earlier run", (t) => {
  const { clock, ledger, crash, isRefused } = setUp();
  for (const id of ["b1", "b2", "b3"]) crash(id, 50n, []);
  for (const [index, backendId] of ["b1", "b2", "b3"].entries()) {
    clock.now += SETTLED_MS;
    const rest = { backendId, startedAtMs: 1, level: 1, sentAtMs: clock.now - 20, atMs: clock.now };
    ledger.add({ ...rest, fingerprint: BigInt(index), keys: [TARGET] });
  }
  clock.now += SETTLED_MS;
  t.true(isRefused([TARGET]));
});

test("a completed request acquits its parts, and those of strikes that are reported later", (t) => {
  const { clock, ledger, crash, isRefused } = setUp();
  for (const [index, id] of ["b1", "b2", "b3"].entries()) crash(id, BigInt(index), [TARGET, BODY]);
  t.true(isRefused([TARGET]));
  const changed = ledger.acquit([TARGET], clock.now);
  t.deepEqual(changed.map(({ strike }) => strike.keys?.map(({ hash }) => hash)), [[2n], [2n], [2n]]);
  t.false(isRefused([TARGET]));
  t.true(isRefused([BODY]));
  ledger.add({ fingerprint: 9n, level: 1, backendId: "b4", startedAtMs: 1, atMs: 500, keys: [TARGET] });
  t.deepEqual(ledger.list().at(-1)?.keys, []);
});

test("a request that was sent before a crash acquits nothing", (t) => {
  const { ledger, crash, isRefused } = setUp();
  for (const [index, id] of ["b1", "b2", "b3"].entries()) crash(id, BigInt(index), [TARGET]);
  ledger.acquit([TARGET], -SETTLED_MS);
  t.true(isRefused([TARGET]));
});

test("a crash that is noticed late does not blame a part with which a request has completed meanwhile", (t) => {
  const { clock, ledger, isRefused } = setUp();
  ledger.add({ fingerprint: 8n, level: 1, backendId: "b0", startedAtMs: 1, atMs: 0 });
  ledger.acquit([TARGET], 2000);
  for (const [index, backendId] of ["b1", "b2", "b3"].entries()) {
    clock.now = 5000 + index * SETTLED_MS;
    const rest = { level: 1, startedAtMs: 1, atMs: clock.now, sentAtMs: 1900, keys: [TARGET, BODY] };
    ledger.add({ fingerprint: BigInt(index), backendId, ...rest });
  }
  clock.now += SETTLED_MS;
  t.false(isRefused([TARGET]));
  t.true(isRefused([BODY]));
});

test("a key that one copy of a strike lacks does not return with another copy", (t) => {
  const { ledger, crash, isRefused } = setUp();
  const strikes = ["b1", "b2", "b3"].map((id, index) => crash(id, BigInt(index), [TARGET, BODY]));
  t.true(ledger.add({ ...strikes[0], keys: [BODY] }));
  t.false(ledger.add(strikes[0]));
  t.false(isRefused([TARGET]));
  t.true(isRefused([BODY]));
});

test("a request with the part alone is tried if all crashes have a second part in common", (t) => {
  const { crash, isRefused } = setUp();
  for (const [index, id] of ["b1", "b2", "b3"].entries()) crash(id, BigInt(index), [TARGET, BODY, BOTH]);
  t.false(isRefused([TARGET]));
  t.true(isRefused([TARGET, BODY, BOTH]));
  crash("b4", 20n, [TARGET]);
  t.true(isRefused([TARGET]));
});

test("a request with the part alone is tried also after the trials of both parts have ended", (t) => {
  const { clock, crash, isRefused } = setUp();
  for (const [index, id] of ["b1", "b2", "b3", "b4", "b5", "b6", "b7"].entries()) {
    clock.now += 3000;
    crash(id, BigInt(index), [TARGET, BODY, BOTH]);
  }
  clock.now += 1_000_000;
  t.true(isRefused([TARGET, BODY, BOTH]));
  t.false(isRefused([TARGET]));
  t.true(isRefused([TARGET], true));
});

test("a request with the part alone is tried if all crashes have one request in common", (t) => {
  const { crash, isRefused } = setUp();
  for (const id of ["b1", "b2", "b3"]) crash(id, 7n, [TARGET]);
  t.false(isRefused([TARGET]));
});

test("trials are made one at a time, ever more rarely, and end after two further crashes", (t) => {
  const { clock, ledger, crash, isRefused } = setUp();
  for (const [index, id] of ["b1", "b2", "b3"].entries()) crash(id, BigInt(index), [TARGET]);
  const untilTrialMs = () => ledger.sharedCauseOf([TARGET], () => false)?.endsInMs;
  t.is(untilTrialMs(), 400);
  clock.now += 401;
  t.false(isRefused([TARGET]));
  t.true(isRefused([TARGET], true));
  crash("b4", 20n, [TARGET]);
  t.is(untilTrialMs(), 3400);
  clock.now += 3400;
  t.false(isRefused([TARGET]));
  crash("b5", 21n, [TARGET]);
  clock.now += 1_000_000;
  t.true(isRefused([TARGET]));
  t.is(untilTrialMs(), undefined);
});

test("crashes that another cause explains are not attributed to a part", (t) => {
  const { ledger, isRefused, clock } = setUp();
  for (const [index, backendId] of ["b1", "b2", "b3"].entries()) {
    const rest = { backendId, startedAtMs: 1, atMs: clock.now };
    ledger.add({ ...rest, fingerprint: 7n, level: index + 1, keys: [] });
    ledger.add({ ...rest, fingerprint: BigInt(20 + index), level: 1, keys: [TARGET] });
    clock.now += SETTLED_MS;
  }
  t.false(isRefused([TARGET]));
});
