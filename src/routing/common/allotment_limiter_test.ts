import test from "ava";
import fc from "fast-check";
import type { IAllotmentQuestion } from "./allotment_limiter.ts";
import { AllotmentLimiter, RequestProgress } from "./allotment_limiter.ts";

const WINDOW_MS = 5000;
const STEP_MS = 10;
const SLACK = 20;
/** Times in which the users' rule lets a changed or lost owner be replaced, at most. */
const REPLACEMENT_MS = 3500;
const STALE_TABLE_MS = 1500;

function makeRandom(seed: number): () => number {
  let state = seed;
  return () => (state = state * 48271 % 2147483647) / 2147483647;
}

function makeLimiter(opts: { slackRequests?: number; share?: number; initialTokens?: number } = {}) {
  const clock = { nowMs: 0 };
  const limiter = new AllotmentLimiter({
    now: () => clock.nowMs,
    random: makeRandom(7),
    slackRequests: 0,
    share: 1,
    ...opts,
  });
  const acquire = (question: Partial<IAllotmentQuestion> = {}) =>
    limiter.acquire({
      organisation: "o",
      allotment: { perSecond: 10, burst: 10 },
      version: 1,
      programId: undefined,
      progress: RequestProgress.First,
      count: 1,
      returned: 0,
      accruesFromMs: -100_000,
      ...question,
    });
  const countGranted = (question: Partial<IAllotmentQuestion>, tries: number) =>
    Array.from({ length: tries }, () => acquire(question)).filter(({ granted }) => granted > 0).length;
  return { clock, acquire, countGranted };
}

/** Largest number of grants in any window beyond what the users' rule allows. */
function worstExcess(
  grantedAtMs: readonly number[],
  { perSecond, burst }: { perSecond: number; burst: number },
): number {
  let worst = -Infinity;
  let from = 0;
  grantedAtMs.forEach((atMs, index) => {
    while (grantedAtMs[from] <= atMs - WINDOW_MS) from += 1;
    worst = Math.max(worst, index - from + 1 - ((perSecond * WINDOW_MS / 1000 + burst) * 1.1 + SLACK));
  });
  return worst;
}

enum Event {
  None,
  /** Another instance becomes the owner; some senders learn of it late. */
  OwnerChanges,
  /** The owner is lost; an instance stands in until there is a new one. */
  OwnerLost,
}

const PHASE = fc.record({
  event: fc.constantFrom(Event.None, Event.OwnerChanges, Event.OwnerLost),
  durationMs: fc.integer({ min: 4000, max: 12_000 }),
  /** Requests as a multiple of the rate. */
  demand: fc.double({ min: 0, max: 8, noNaN: true }),
  requestsPerProgram: fc.integer({ min: 1, max: 20 }),
  /** Share of the senders with an outdated table. */
  staleShare: fc.double({ min: 0, max: 0.3, noNaN: true }),
});
const ALLOTMENT = fc.record({
  perSecond: fc.double({ min: 0.3, max: 120, noNaN: true }),
  burstS: fc.double({ min: 0, max: 2, noNaN: true }),
});

test("no window has more grants than the rule allows, whatever the demand and the changes of owners", (t) => {
  const property = fc.property(
    ALLOTMENT,
    fc.array(PHASE, { minLength: 1, maxLength: 4 }),
    (rates, phases) => {
      const allotment = { perSecond: rates.perSecond, burst: rates.perSecond * rates.burstS };
      let nowMs = 0;
      const random = makeRandom(11);
      const make = (share: number) =>
        new AllotmentLimiter({
          now: () => nowMs,
          random,
          slackRequests: SLACK,
          share,
          initialTokens: share < 1 ? SLACK / 8 : 0,
        });
      let owner = { limiter: make(1), sinceMs: -100_000 };
      const grantedAtMs: number[] = [];
      let sent = 0;
      for (const { event, durationMs, demand, requestsPerProgram, staleShare } of phases) {
        const startMs = nowMs;
        const former = owner;
        const standIn = { limiter: make(0.5), sinceMs: undefined };
        if (event === Event.OwnerChanges) owner = { limiter: make(1), sinceMs: startMs };
        let due = 0;
        for (; nowMs < startMs + durationMs; nowMs += STEP_MS) {
          if (
            event === Event.OwnerLost && owner === former &&
            nowMs >= startMs + REPLACEMENT_MS - STALE_TABLE_MS
          ) {
            owner = { limiter: make(1), sinceMs: nowMs };
          }
          const isLost = event === Event.OwnerLost && nowMs < startMs + REPLACEMENT_MS;
          const isStale = event === Event.OwnerChanges && nowMs < startMs + STALE_TABLE_MS;
          for (due += allotment.perSecond * demand * STEP_MS / 1000; due >= 1; due--) {
            const current = isStale && random() < staleShare ? former : owner;
            const { limiter, sinceMs } = isLost ? standIn : current;
            const { granted } = limiter.acquire({
              organisation: "o",
              allotment,
              version: 1,
              programId: `p${Math.floor(sent++ / requestsPerProgram)}`,
              progress: RequestProgress.First,
              count: 1,
              returned: 0,
              accruesFromMs: sinceMs,
            });
            if (granted > 0) grantedAtMs.push(nowMs);
          }
        }
      }
      t.true(worstExcess(grantedAtMs, allotment) <= 0);
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 20261204, numRuns: 300 }));
});

for (const perSecond of [0.5, 4, 40]) {
  for (const demand of [1.2, 6]) {
    test(`nine tenths of ${perSecond} a second are used at ${demand} times the rate`, (t) => {
      const { clock, acquire } = makeLimiter({ slackRequests: SLACK });
      const random = makeRandom(3);
      // Small rates grant few programs, so that their share is known only after longer.
      const playS = Math.max(120, 2400 / perSecond);
      let granted = 0;
      let programs = 0;
      let due: { atMs: number; id: string; left: number }[] = [];
      for (; clock.nowMs < playS * 1000; clock.nowMs += STEP_MS) {
        if (random() < perSecond * demand / 12 * STEP_MS / 1000) {
          due.push({ atMs: clock.nowMs, id: `p${++programs}`, left: 12 });
        }
        for (const program of due.filter(({ atMs }) => atMs <= clock.nowMs)) {
          const allotment = { perSecond, burst: perSecond };
          const grant = acquire({ allotment, programId: program.id });
          granted += grant.granted;
          program.left -= grant.granted;
          // Refused requests come back at the stated time, so that demand stays above the rate.
          program.atMs = clock.nowMs + (grant.granted > 0 ? 100 + random() * 200 : grant.retryAfterMs);
        }
        due = due.filter(({ left }) => left > 0);
      }
      t.true(granted >= 0.9 * perSecond * playS, `${granted} of ${perSecond * playS}`);
    });
  }
}

for (const perSecond of [4, 40, 120]) {
  for (const pauseMs of [100, 400, 1500]) {
    test(`an organisation at 6 times ${perSecond} a second, with pauses of ${pauseMs} ms, completes its programs`, (t) => {
      const { clock, acquire } = makeLimiter({ slackRequests: SLACK });
      const random = makeRandom(5);
      const playS = Math.max(120, 2400 / perSecond);
      let begun = 0;
      let completed = 0;
      let running: { atMs: number; id: string; left: number }[] = [];
      for (; clock.nowMs < playS * 1000; clock.nowMs += STEP_MS) {
        // Six times the rate, if all programs ran to their ends.
        for (let due = perSecond * 6 / 12 * STEP_MS / 1000; due > random(); due--) {
          running.push({ atMs: clock.nowMs, id: `p${++begun}`, left: 8 + Math.floor(random() * 9) });
        }
        for (const program of running.filter(({ atMs }) => atMs <= clock.nowMs)) {
          const allotment = { perSecond, burst: perSecond };
          // Its caller gives a program up at the first refusal.
          const isGranted = acquire({ allotment, programId: program.id }).granted > 0;
          program.left = isGranted ? program.left - 1 : -1;
          if (program.left === 0) completed += 1;
          program.atMs = clock.nowMs + pauseMs * (0.5 + random());
        }
        running = running.filter(({ left }) => left > 0);
      }
      const allowed = perSecond * playS / 12;
      t.log(`${completed} of ${allowed}`);
      t.true(completed >= 0.75 * allowed, `${completed} of ${allowed}`);
    });
  }
}

test("a new owner does not grant the burst again", (t) => {
  const { clock, countGranted } = makeLimiter();
  clock.nowMs = 1000;
  t.is(countGranted({ accruesFromMs: 500 }, 20), 5);
});

test("a slice that was acquired again begins anew", (t) => {
  const { clock, countGranted } = makeLimiter();
  t.is(countGranted({}, 20), 10);
  clock.nowMs = 5000;
  t.is(countGranted({ accruesFromMs: 4900 }, 20), 1);
});

test("a lowered limit applies at once, a raised one as well, and an older version changes nothing", (t) => {
  const { clock, countGranted } = makeLimiter();
  t.is(countGranted({ allotment: { perSecond: 2, burst: 2 }, version: 2 }, 20), 2);
  clock.nowMs = 1000;
  t.is(countGranted({ version: 1 }, 20), 2);
  clock.nowMs = 2000;
  t.is(countGranted({ allotment: { perSecond: 30, burst: 10 }, version: 3 }, 40), 10);
  clock.nowMs = 2100;
  t.is(countGranted({ version: 3 }, 40), 3);
});

test("limits that change again and again grant no tokens of their own", (t) => {
  const { acquire } = makeLimiter();
  let granted = 0;
  for (let version = 2; version < 100; version++) {
    const allotment = { perSecond: 10, burst: version % 2 === 0 ? 1 : 100 };
    granted += acquire({ allotment, version }).granted;
  }
  t.true(granted <= 100, String(granted));
});

test("returned tokens are granted again, and never exceed the capacity", (t) => {
  const { countGranted } = makeLimiter();
  t.is(countGranted({}, 20), 10);
  t.is(countGranted({ returned: 1 }, 1), 1);
  t.is(countGranted({ returned: 50 }, 1) + countGranted({}, 50), 10);
});

test("when the bucket is low, programs that have begun precede new ones", (t) => {
  const { clock, acquire, countGranted } = makeLimiter();
  countGranted({ programId: "a" }, 9);
  t.is(acquire({ programId: "b" }).granted, 0);
  t.is(acquire({ programId: "a" }).granted, 1);
  clock.nowMs = 100;
  t.is(acquire({ programId: "c", progress: RequestProgress.Continued }).granted, 1);
});

test("a repeated request may overdraw the bucket a little", (t) => {
  const { countGranted } = makeLimiter({ slackRequests: SLACK });
  t.is(countGranted({}, 50), 20);
  t.is(countGranted({ progress: RequestProgress.Repeated }, 50), 3);
});

test("refused requests are told different times, within a bounded time", (t) => {
  const { countGranted, acquire } = makeLimiter();
  countGranted({}, 20);
  const times = Array.from({ length: 200 }, () => acquire().retryAfterMs);
  t.true(new Set(times).size > 190);
  t.true(times.every((ms) => ms > 0 && ms <= 5000));
  const inEachSecond = [0, 1, 2, 3, 4].map((s) => times.filter((ms) => Math.floor(ms / 1000) === s).length);
  t.true(Math.min(...inEachSecond) >= 10, inEachSecond.join());
});

test("two organisations do not affect each other", (t) => {
  const { countGranted } = makeLimiter();
  countGranted({ organisation: "a" }, 1000);
  t.is(countGranted({ organisation: "b" }, 20), 10);
});
