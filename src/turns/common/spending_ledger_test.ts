import test from "ava";
import fc from "fast-check";
import type { ISpendingRecord } from "./spending_ledger.ts";
import { GrantDecision, SpendingLedger } from "./spending_ledger.ts";

const RETAIN_MS = 60_000;
const MAX_TOKENS = 572;

function grantRequest(turnId: string, opts: { budget?: number; programId?: string } = {}) {
  const { budget = 2700, programId = "p" } = opts;
  return { programId, turnId, maxTokens: MAX_TOKENS, budget, retainMs: RETAIN_MS };
}

/** Appends the ledger's pending records to a log. */
function append(ledger: SpendingLedger, log: ISpendingRecord[]): void {
  const records = ledger.takeDirty(0);
  log.push(...records);
  ledger.markRecorded(records);
}

/** Ledger of a new owner after the former ownership ended without a release. */
function recover(log: readonly ISpendingRecord[], now: number): SpendingLedger {
  const ledger = new SpendingLedger();
  for (const record of log) ledger.restore(record);
  ledger.markUnclean(now);
  return ledger;
}

test("a turn is granted while its token limit fits the remaining budget", (t) => {
  const ledger = new SpendingLedger();
  t.is(ledger.begin(grantRequest("1", { budget: 1200 }), 0), GrantDecision.Granted);
  ledger.end("p", { turnId: "1", tokens: 400 });
  t.not(ledger.begin(grantRequest("2", { budget: 1200 }), 0), GrantDecision.BudgetExhausted);
  t.is(ledger.begin(grantRequest("3", { budget: 1200 }), 0), GrantDecision.BudgetExhausted);
  ledger.end("p", { turnId: "2", tokens: 100 });
  t.not(ledger.begin(grantRequest("4", { budget: 1200 }), 0), GrantDecision.BudgetExhausted);
});

test("beginning a turn is idempotent", (t) => {
  const ledger = new SpendingLedger();
  for (let i = 0; i < 5; i++) {
    t.not(ledger.begin(grantRequest("1", { budget: 600 }), 0), GrantDecision.BudgetExhausted);
  }
});

test("after an unclean end the first turn of a new program is granted once recorded", (t) => {
  const ledger = recover([], 1000);
  t.is(ledger.begin(grantRequest("1", { budget: 900 }), 2000), GrantDecision.GrantedWhenRecorded);
  append(ledger, []);
  t.true(ledger.isRecorded("p"));
});

test("a program continues within its reservation, and beyond it only once recorded", (t) => {
  const ledger = new SpendingLedger();
  const log: ISpendingRecord[] = [];
  t.is(ledger.begin(grantRequest("1"), 0), GrantDecision.Granted);
  append(ledger, log);
  t.is(ledger.begin(grantRequest("2"), 0), GrantDecision.Granted);
  let granted = 2;
  while (ledger.begin(grantRequest(`${granted + 1}`), 0) === GrantDecision.Granted) granted += 1;
  t.true(granted * MAX_TOKENS <= log[0].spent + MAX_TOKENS + log[0].ahead);
});

test("a turn that is still running can be ended at the next owner", (t) => {
  const ledger = new SpendingLedger();
  const log: ISpendingRecord[] = [];
  ledger.begin(grantRequest("1", { budget: 1800 }), 0);
  append(ledger, log);
  const next = recover([{ ...log[0], ahead: 0 }], 1000);
  t.is(next.begin(grantRequest("2", { budget: 1200 }), 2000), GrantDecision.GrantedWhenRecorded);
  next.end("p", { turnId: "2", tokens: 0 });
  next.end("p", { turnId: "1", tokens: 22 });
  t.not(next.begin(grantRequest("3", { budget: 1200 }), 2000), GrantDecision.BudgetExhausted);
});

/** An event in the lifetime of one program. */
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

test("through any crashes and releases, a program receives at most its budget plus one turn", (t) => {
  const scenario = fc.record({
    budget: fc.integer({ min: MAX_TOKENS, max: 12 * MAX_TOKENS }),
    steps: fc.array(STEP, { maxLength: 80 }),
  });
  fc.assert(
    fc.property(scenario, ({ budget, steps }) => {
      const log: ISpendingRecord[] = [];
      let ledger = new SpendingLedger();
      /** Upper bound of the tokens delivered by turns that have ended or were lost. */
      let deliveredTokens = 0;
      let running: string[] = [];
      steps.forEach((step, index) => {
        if (step.kind === "begin") {
          const turnId = `t${index}`;
          const decision = ledger.begin(grantRequest(turnId, { budget }), 1);
          if (decision === GrantDecision.GrantedWhenRecorded) append(ledger, log);
          if (decision !== GrantDecision.BudgetExhausted) running.push(turnId);
        }
        if (step.kind === "end" && running.length > 0) {
          const turnId = running.shift()!;
          const tokens = Math.floor(step.share * MAX_TOKENS);
          deliveredTokens += tokens;
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
          // Running turns may have delivered up to their limit without a report: their instances crash too.
          deliveredTokens += running.length * MAX_TOKENS;
          running = [];
          ledger = recover(log, 1);
        }
      });
      return deliveredTokens + running.length * MAX_TOKENS <= budget + MAX_TOKENS;
    }),
    { seed: 20261203, numRuns: 3000 },
  );
  t.pass();
});

test("a turn that was given up before its request to begin arrives reserves nothing", (t) => {
  const ledger = new SpendingLedger();
  ledger.end("p", { turnId: "late", tokens: 0 });
  t.is(ledger.begin(grantRequest("late", { budget: MAX_TOKENS }), 1), GrantDecision.AlreadyEnded);
  t.is(ledger.begin(grantRequest("next", { budget: MAX_TOKENS }), 1), GrantDecision.Granted);
  ledger.end("p", { turnId: "next", tokens: 0 });
  t.is(ledger.begin(grantRequest("next", { budget: MAX_TOKENS }), 1), GrantDecision.AlreadyEnded);
});
