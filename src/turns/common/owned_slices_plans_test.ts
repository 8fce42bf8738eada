/** Random lives of a slice: whatever fails, a program is handed at most its budget and one turn. */
import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import { Random } from "../../../test/demo/random.ts";
import { LogFault, PartitionedLogCore } from "../../../test/stand_ins/partitioned_log_core.ts";
import {
  BeginTurnRequestSchema,
  EndTurnRequestSchema,
  TurnVerdict,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import type { IPartitionedLog } from "../../services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../services/store/common/partitioned_log.ts";
import { OwnedSlices } from "./owned_slices.ts";
import type { IHeldSlice } from "./slice_journal.ts";

const PLANS = 120;
const ACTIONS = 60;
const MAX_TOKENS = 500;
const SLICE = new Set([0]);
const NONE = new Set<number>();

enum Action {
  Begin,
  End,
  /** Deals the slice to another instance; the former owner does not know yet. */
  Deal,
  /** Deals the slice in order. */
  Release,
  /** An instance loses everything and starts anew. */
  Crash,
  /** The store refuses one instance, or serves it again. */
  Refuse,
  /** An answer of the store is lost. */
  LoseAnswer,
  Wait,
}

/** Many turns between many losses: what one owner forgets must not be granted again by the next. */
const SHARES = [
  { action: Action.Begin, share: 0.4 },
  { action: Action.End, share: 0.06 },
  { action: Action.Deal, share: 0.12 },
  { action: Action.Release, share: 0.04 },
  { action: Action.Crash, share: 0.14 },
  { action: Action.Refuse, share: 0.14 },
  { action: Action.LoseAnswer, share: 0.05 },
  { action: Action.Wait, share: 0.05 },
];

/** One instance, as the others and the store see it. */
class Node {
  readonly address: string;
  readonly slices: OwnedSlices;
  isRefused = false;
  isDead = false;

  constructor(address: string, { log, random, find }: {
    log: PartitionedLogCore;
    random: Random;
    find: (address: string) => Node | undefined;
  }) {
    this.address = address;
    this.slices = new OwnedSlices({
      log: this.#gate(log),
      logger: new NullLogger(),
      instance: address,
      address,
      partitions: [{ topic: "slices-0", part: 0 }],
      newWriter: () => BigInt(1 + random.below(2 ** 31)),
      askRelease: (held) => this.#ask(held, { random, find }),
    });
  }

  /** A call that does not arrive, one whose answer is lost, or one that comes back. */
  #ask(held: IHeldSlice, { random, find }: { random: Random; find: (address: string) => Node | undefined }) {
    const former = find(held.holder);
    const luck = random.below(4);
    if (former === undefined || former.isDead || luck === 0) return Effect.succeed(undefined);
    const answer = former.slices.releaseFor(held);
    return luck === 1 ? Effect.as(answer, undefined) : answer;
  }

  #gate(log: PartitionedLogCore): IPartitionedLog {
    return new Proxy<IPartitionedLog>(log, {
      get: (target, name) => {
        const member = Reflect.get(target, name) as unknown;
        if (typeof member !== "function") return member;
        const refusal = Effect.suspend(() => Effect.fail(new StoreError(StoreFault.Refused, "refused")));
        return (...args: unknown[]) =>
          Effect.suspend(() =>
            this.isRefused || this.isDead ? refusal : member.apply(target, args) as Effect.Effect<unknown>
          );
      },
    });
  }
}

class Plan {
  readonly #random: Random;
  readonly #log = new PartitionedLogCore();
  readonly #nodes: Node[] = [];
  readonly #running: string[] = [];
  readonly budget: number;
  #owner: Node;
  #turns = 0;
  #starts = 0;
  handedOut = 0;

  constructor(seed: number) {
    this.#random = new Random(seed);
    this.budget = 600 + this.#random.below(6000);
    for (let at = 0; at < 3; at++) this.#nodes.push(this.#start());
    this.#owner = this.#nodes[0];
  }

  play(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // The time of an unclean end is told from never by being positive.
      yield* TestClock.adjust(1000);
      yield* this.#drive(this.#owner.slices.assign(SLICE));
      for (let at = 0; at < ACTIONS; at++) yield* this.#act(this.#random.pick(SHARES).action);
    });
  }

  #start(): Node {
    const find = (address: string) => this.#nodes.find((node) => node.address === address);
    return new Node(`n${this.#starts++}`, { log: this.#log, random: this.#random, find });
  }

  #pick<T>(items: readonly T[]): T {
    return items[this.#random.below(items.length)];
  }

  #act(action: Action): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      switch (action) {
        case Action.Begin:
          return yield* this.#begin();
        case Action.End:
          return yield* this.#end();
        case Action.Deal:
          this.#owner = this.#pick(this.#nodes);
          return yield* this.#drive(this.#owner.slices.assign(SLICE));
        case Action.Release:
          yield* this.#drive(this.#owner.slices.assign(NONE));
          this.#owner = this.#pick(this.#nodes);
          return yield* this.#drive(this.#owner.slices.assign(SLICE));
        case Action.Crash:
          return yield* this.#crash();
        case Action.Refuse: {
          const node = this.#pick(this.#nodes);
          node.isRefused = !node.isRefused;
          return;
        }
        case Action.LoseAnswer:
          this.#log.fault = this.#log.fault === LogFault.None ? LogFault.LoseAnswers : LogFault.None;
          return;
        case Action.Wait:
          return yield* TestClock.adjust(this.#random.below(1500));
      }
    });
  }

  /** Asks any instance, also one that only believes that it owns the slice; what is granted is handed out. */
  #begin(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const turnId = `t${this.#turns++}`;
      const asked = { programId: "p", turnId, maxTokens: MAX_TOKENS, budget: this.budget, retainMs: 60_000 };
      const req = create(BeginTurnRequestSchema, asked);
      const node = this.#random.below(3) === 0 ? this.#pick(this.#nodes) : this.#owner;
      const { verdict } = yield* this.#drive(node.slices.begin(req));
      if (verdict !== TurnVerdict.GRANTED) return;
      this.handedOut += MAX_TOKENS;
      this.#running.push(turnId);
    });
  }

  /** Reports a turn that ran to its most, wherever the report goes; some are never reported. */
  #end(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const turnId = this.#running.shift();
      if (turnId === undefined || this.#random.below(3) === 0) return;
      const end = create(EndTurnRequestSchema, { programId: "p", turnId, tokens: MAX_TOKENS });
      yield* this.#drive(this.#pick(this.#nodes).slices.end(end));
    });
  }

  #crash(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const at = this.#random.below(this.#nodes.length);
      const wasOwner = this.#nodes[at] === this.#owner;
      this.#nodes[at].isDead = true;
      this.#nodes[at] = this.#start();
      if (!wasOwner) return;
      this.#owner = this.#pick(this.#nodes);
      yield* this.#drive(this.#owner.slices.assign(SLICE));
    });
  }

  #drive<T>(work: Effect.Effect<T>): Effect.Effect<T> {
    return Effect.gen(function* () {
      const fiber = yield* Effect.forkChild(work);
      // Work that needs no time is done without any passing, so that records lag behind grants.
      for (let at = 0; at < 3 && fiber.pollUnsafe() === undefined; at++) yield* TestClock.adjust(0);
      while (fiber.pollUnsafe() === undefined) yield* TestClock.adjust(50);
      return yield* Fiber.join(fiber);
    });
  }
}

test("whatever is dealt, refused, lost or killed, a program is handed at most its budget and one turn", async (t) => {
  let total = 0;
  for (let seed = 1; seed <= PLANS; seed++) {
    const plan = new Plan(seed);
    await Effect.runPromise(Effect.provide(plan.play(), TestClock.layer()));
    total += plan.handedOut;
    const most = plan.budget + MAX_TOKENS;
    t.true(plan.handedOut <= most, `seed ${seed}: ${plan.handedOut} of ${plan.budget} handed out`);
  }
  // The plans do grant turns; otherwise nothing would be shown.
  t.true(total > PLANS * MAX_TOKENS, String(total));
});
