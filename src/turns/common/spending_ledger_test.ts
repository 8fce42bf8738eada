import test from "ava";
import fc from "fast-check";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { Spending, SpendingLedger } from "./spending_ledger.ts";

const RETAIN_MS = 60_000;
const MOST = 572;

function grantOf(turnId: string, opts: { budget?: number; programId?: string } = {}) {
  const { budget = 2700, programId = "p" } = opts;
  return { programId, turnId, maxTokens: MOST, budget, retainMs: RETAIN_MS };
}

/** Appends the ledger's records to a log. */
function append(ledger: SpendingLedger, log: ISpendingRecord[]): void {
  const records = ledger.takeDirty(0);
  log.push(...records);
  ledger.noteRecorded(records);
}

/** A new owner's ledger after the old one ended without a release. */
function recover(log: readonly ISpendingRecord[], now: number): SpendingLedger {
  const ledger = new SpendingLedger();
  for (const record of log) ledger.restore(record);
  ledger.markUnclean(now);
  return ledger;
}

test("a turn is granted until the budget does not hold its most", (t) => {
  const ledger = new SpendingLedger();
  t.is(ledger.begin(grantOf("1", { budget: 1200 }), 0), Spending.Granted);
  ledger.end("p", { turnId: "1", tokens: 400 });
  t.not(ledger.begin(grantOf("2", { budget: 1200 }), 0), Spending.Spent);
  t.is(ledger.begin(grantOf("3", { budget: 1200 }), 0), Spending.Spent);
  ledger.end("p", { turnId: "2", tokens: 100 });
  t.not(ledger.begin(grantOf("4", { budget: 1200 }), 0), Spending.Spent);
});

test("a repeated begin of one turn counts once", (t) => {
  const ledger = new SpendingLedger();
  for (let i = 0; i < 5; i++) t.not(ledger.begin(grantOf("1", { budget: 600 }), 0), Spending.Spent);
});

test("a new program of one turn is served after an unclean end", (t) => {
  const ledger = recover([], 1000);
  t.is(ledger.begin(grantOf("1", { budget: 900 }), 2000), Spending.GrantedWhenRecorded);
  append(ledger, []);
  t.true(ledger.isRecorded("p"));
});

test("a program goes on inside its record, and beyond it only once recorded", (t) => {
  const ledger = new SpendingLedger();
  const log: ISpendingRecord[] = [];
  t.is(ledger.begin(grantOf("1"), 0), Spending.Granted);
  append(ledger, log);
  t.is(ledger.begin(grantOf("2"), 0), Spending.Granted);
  let granted = 2;
  while (ledger.begin(grantOf(`${granted + 1}`), 0) === Spending.Granted) granted += 1;
  t.true(granted * MOST <= log[0].spent + MOST + log[0].ahead);
});

test("a running turn is settled with the next owner", (t) => {
  const ledger = new SpendingLedger();
  const log: ISpendingRecord[] = [];
  ledger.begin(grantOf("1", { budget: 1800 }), 0);
  append(ledger, log);
  const next = recover([{ ...log[0], ahead: 0 }], 1000);
  t.is(next.begin(grantOf("2", { budget: 1200 }), 2000), Spending.GrantedWhenRecorded);
  next.end("p", { turnId: "2", tokens: 0 });
  next.end("p", { turnId: "1", tokens: 22 });
  t.not(next.begin(grantOf("3", { budget: 1200 }), 2000), Spending.Spent);
});

/** What may happen to one program, many times. */
const STEP = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant("begin" as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      share: fc.double({ min: 0, max: 1, noNaN: true }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant("append" as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("crash" as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("release" as const) }) },
);

test("whatever crashes, a program gets at most its budget and one turn", (t) => {
  const plan = fc.record({
    budget: fc.integer({ min: MOST, max: 12 * MOST }),
    steps: fc.array(STEP, { maxLength: 80 }),
  });
  fc.assert(
    fc.property(plan, ({ budget, steps }) => {
      const log: ISpendingRecord[] = [];
      let ledger = new SpendingLedger();
      /** Turns that were handed out tokens, and what they got. */
      let handedOut = 0;
      let running: string[] = [];
      steps.forEach((step, index) => {
        if (step.kind === "begin") {
          const turnId = `t${index}`;
          const spending = ledger.begin(grantOf(turnId, { budget }), 1);
          if (spending === Spending.GrantedWhenRecorded) append(ledger, log);
          if (spending !== Spending.Spent) running.push(turnId);
        }
        if (step.kind === "end" && running.length > 0) {
          const turnId = running.shift()!;
          const tokens = Math.floor(step.share * MOST);
          handedOut += tokens;
          ledger.end("p", { turnId, tokens });
        }
        if (step.kind === "append") append(ledger, log);
        if (step.kind === "release") {
          log.push(...ledger.settle(1));
          const next = new SpendingLedger();
          for (const record of log) next.restore(record);
          next.markUnclean(ledger.uncleanAtMs);
          ledger = next;
        }
        if (step.kind === "crash") {
          // The entries die too: what runs has been handed out as a whole, and nobody tells.
          handedOut += running.length * MOST;
          running = [];
          ledger = recover(log, 1);
        }
      });
      return handedOut + running.length * MOST <= budget + MOST;
    }),
    { seed: 20261203, numRuns: 3000 },
  );
  t.pass();
});
