import test from "ava";
import type { IHedgeQuestion } from "./hedge_limiter.ts";
import { HedgeLimiter } from "./hedge_limiter.ts";

const SHARE = 0.02;
const QUESTION: IHedgeQuestion = {
  service: "s",
  asker: "a",
  startedAtMs: 1,
  sends: 0,
  answeredSends: 0,
  returned: 0,
  ownedSinceMs: 1,
};

/** Asks for one instance, which counts its sends. */
class Asker {
  sends = 0;
  answeredSends = 0;
  readonly #limiter: HedgeLimiter;
  readonly #asker: string;

  constructor(limiter: HedgeLimiter, asker = "a") {
    this.#limiter = limiter;
    this.#asker = asker;
  }

  ask(overrides: Partial<IHedgeQuestion> = {}): boolean {
    const { sends, answeredSends } = this;
    const question = { ...QUESTION, asker: this.#asker, sends, answeredSends };
    this.answeredSends = sends;
    return this.#limiter.acquire({ ...question, ...overrides });
  }
}

test("a phase in which all requests become worth hedging at once gets no more than the share", (t) => {
  const limiter = new HedgeLimiter(SHARE);
  const askers = Array.from({ length: 10 }, (_, index) => new Asker(limiter, `a${index}`));
  t.false(askers[0].ask(), "nothing is earned at the start");
  for (const asker of askers) asker.sends += 1000;
  let hedges = 0;
  const hedgeAll = (count: number) => {
    for (let index = 0; index < count; index++) hedges += askers[0].ask() ? 1 : 0;
  };
  hedgeAll(1000);
  t.is(hedges, 5, "a long quiet phase saves no more than a few");
  for (let index = 0; index < 1000; index++) {
    askers[0].sends += 1;
    hedgeAll(1);
  }
  t.true(hedges >= 24 && hedges <= 5 + 1000 * SHARE, `${hedges}`);
  t.true(hedges <= askers[0].sends * SHARE);
  t.false(askers[0].ask({ service: "other" }), "one service does not use what another has earned");
});

test("the sends of several instances together earn what none of them earns alone", (t) => {
  const limiter = new HedgeLimiter(SHARE);
  const askers = Array.from({ length: 10 }, (_, index) => new Asker(limiter, `a${index}`));
  for (const asker of askers) asker.sends = 6;
  t.deepEqual(askers.map((asker) => asker.ask()), [...Array(8).fill(false), true, false]);
});

test("a hedged request that was not sent costs nothing", (t) => {
  const asker = new Asker(new HedgeLimiter(SHARE));
  asker.sends = 60;
  t.true(asker.ask());
  t.true(asker.ask({ returned: 1 }));
  t.false(asker.ask());
});

test("the sends of a question whose answer was lost, or that arrives late, earn once", (t) => {
  const limiter = new HedgeLimiter(SHARE);
  const ask = (overrides: Partial<IHedgeQuestion>) => limiter.acquire({ ...QUESTION, ...overrides });
  t.false(ask({ sends: 40 }));
  t.false(ask({ sends: 40 }), "answer lost");
  t.true(ask({ sends: 60 }));
  t.false(ask({ sends: 50 }), "late");
  t.false(ask({ sends: 95 }));
  t.true(ask({ sends: 10, startedAtMs: 2 }), "10 + 35 + 10 sends, of which the last since a restart");
  t.false(ask({ sends: 1000, startedAtMs: 1 }), "from before the restart");
});

test("a new ownership starts with an empty bucket", (t) => {
  const asker = new Asker(new HedgeLimiter(SHARE));
  asker.sends = 1000;
  t.true(asker.ask());
  t.false(asker.ask({ ownedSinceMs: 2 }));
  asker.sends += 50;
  t.true(asker.ask({ ownedSinceMs: 2 }));
});

// Guards against a service that is never hedged again after one odd question.
test("a question with odd numbers changes nothing", (t) => {
  const limiter = new HedgeLimiter(0.1);
  const question = {
    service: "s",
    asker: "odd",
    startedAtMs: 1,
    sends: 0,
    answeredSends: 0,
    returned: 0,
    ownedSinceMs: 1,
  };
  for (const odd of [NaN, Infinity, -Infinity, -1]) {
    t.false(limiter.acquire({ ...question, sends: odd }));
    t.false(limiter.acquire({ ...question, answeredSends: odd, sends: 0 }));
  }
  t.true(limiter.acquire({ ...question, asker: "a", sends: 20 }));
  t.true(limiter.acquire({ ...question, asker: "a", sends: 20 }));
  t.false(limiter.acquire({ ...question, asker: "a", sends: 20 }));
});
