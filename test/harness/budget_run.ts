/** Runs programs of typical use against the owners of their budgets under virtual time, while all instances are lost. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect, Fiber } from "effect";
import { TestClock } from "effect/testing";
import {
  BeginTurnRequestSchema,
  EndTurnRequestSchema,
  TurnVerdict,
} from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { NullLogger } from "../../src/services/logging/common/logger.ts";
import type { IPartitionedLog } from "../../src/services/store/common/partitioned_log.ts";
import { OwnedSlices } from "../../src/turns/common/owned_slices.ts";
import { LogFault, PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";
import { SeededRandom } from "../demo/random.ts";

const SLICES = [0, 1, 2, 3];
const TURN_TOKENS = [135, 44, 572];
const TURNS = [1, 4, 9];
const BUDGET_FACTOR = 1.6;
const PROGRAM_INTERVAL_MS = 50;
const TURN_MS = 150;
const MAX_PAUSE_MS = 800;
const RETRY_MS = 200;
const APPEND_MS = 15;
const CLOCK_STEP_MS = 5;

/** Options of a {@link BudgetRun}. */
export interface IBudgetRunOptions {
  readonly seed: number;
  /** Time during which programs begin, in ms. */
  readonly durationMs: number;
  /** Times at which all instances are lost, in ms. */
  readonly lossesAtMs: readonly number[];
  readonly outage?: { readonly fromMs: number; readonly untilMs: number };
}

/** What became of one program. */
export interface IProgramResult {
  readonly turns: number;
  readonly maxTokens: number;
  readonly budget: number;
  /** Losses of all instances during the program. */
  losses: number;
  delivered: number;
  /** Whether a turn was refused as exceeding the budget that the delivered tokens left room for. */
  isWronglyRefused: boolean;
}

/** Outcome of a run. */
export interface IBudgetRunResult {
  readonly programs: readonly IProgramResult[];
  readonly appends: number;
  /** Turns granted during the outage. */
  readonly grantsInOutage: number;
}

/** One run; determined by its options. */
export class BudgetRun {
  readonly #opts: IBudgetRunOptions;
  readonly #random: SeededRandom;
  readonly #log = new PartitionedLogCore();
  readonly #programs: IProgramResult[] = [];
  #owned: OwnedSlices;
  #epoch = 0;
  #writers = 0n;
  #turnIds = 0;
  #appends = 0;
  #grantsInOutage = 0;

  constructor(opts: IBudgetRunOptions) {
    this.#opts = opts;
    this.#random = new SeededRandom(opts.seed);
    this.#owned = this.#startInstance();
  }

  run(): Promise<IBudgetRunResult> {
    const work = Effect.gen({ self: this }, function* () {
      yield* TestClock.adjust(1000);
      const fiber = yield* Effect.forkChild(this.#play());
      while (fiber.pollUnsafe() === undefined) yield* TestClock.adjust(CLOCK_STEP_MS);
      yield* Fiber.join(fiber);
      return { programs: this.#programs, appends: this.#appends, grantsInOutage: this.#grantsInOutage };
    });
    return Effect.runPromise(Effect.provide(work, TestClock.layer()));
  }

  #play(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#owned.assign(new Set(SLICES));
      const losses = this.#opts.lossesAtMs.map((atMs) => Effect.andThen(Effect.sleep(atMs), this.#loseAll()));
      const programs = Array.from(
        { length: this.#opts.durationMs / PROGRAM_INTERVAL_MS },
        (_, index) =>
          Effect.andThen(
            Effect.sleep(index * PROGRAM_INTERVAL_MS),
            Effect.suspend(() => this.#runProgram(index)),
          ),
      );
      yield* Effect.all([this.#injectOutage(), ...losses, ...programs], {
        concurrency: "unbounded",
        discard: true,
      });
    });
  }

  #injectOutage(): Effect.Effect<void> {
    const { outage } = this.#opts;
    if (outage === undefined) return Effect.void;
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(outage.fromMs);
      this.#log.fault = LogFault.Refuse;
      yield* Effect.sleep(outage.untilMs - outage.fromMs);
      this.#log.fault = LogFault.None;
    });
  }

  /** Replaces all instances by one without their state; turns that are running deliver nothing more. */
  #loseAll(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#epoch += 1;
      this.#owned = this.#startInstance();
      return this.#owned.assign(new Set(SLICES));
    });
  }

  #startInstance(): OwnedSlices {
    const epoch = this.#epoch;
    const isLost = () => epoch !== this.#epoch;
    const append: IPartitionedLog["append"] = (partition, records, at) =>
      Effect.andThen(
        Effect.sleep(APPEND_MS),
        Effect.suspend(() => {
          if (isLost()) return Effect.never;
          this.#appends += 1;
          return this.#log.append(partition, records, at);
        }),
      );
    const log = new Proxy<IPartitionedLog>(this.#log, {
      get: (target, name) => {
        if (name === "append") return append;
        const member = Reflect.get(target, name) as unknown;
        return typeof member === "function" ? member.bind(target) : member;
      },
    });
    return new OwnedSlices({
      log,
      logger: new NullLogger(),
      instance: `i${epoch}`,
      address: `i${epoch}`,
      askRelease: () => Effect.succeed(undefined),
      partitions: SLICES.map((part) => ({ topic: "slices", part })),
      newWriter: () => ++this.#writers,
    });
  }

  #runProgram(index: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const turns = TURNS[index % TURNS.length];
      const maxTokens = TURN_TOKENS[Math.floor(index / TURNS.length) % TURN_TOKENS.length];
      const budget = Math.floor(turns * maxTokens * BUDGET_FACTOR);
      const result = { turns, maxTokens, budget, losses: 0, delivered: 0, isWronglyRefused: false };
      this.#programs.push(result);
      const firstEpoch = this.#epoch;
      for (let done = 0; done < turns;) {
        const verdict = yield* this.#runTurn(`p${index}`, result);
        if (verdict === TurnVerdict.SPENT) {
          result.isWronglyRefused = result.delivered + maxTokens <= budget;
          break;
        }
        if (verdict === TurnVerdict.GRANTED) done += 1;
        yield* Effect.sleep(
          verdict === TurnVerdict.GRANTED ? this.#random.nextInt(MAX_PAUSE_MS) : RETRY_MS,
        );
      }
      result.losses = this.#epoch - firstEpoch;
    });
  }

  /** Runs one turn; undefined if its instance is lost before its end. */
  #runTurn(programId: string, program: IProgramResult): Effect.Effect<TurnVerdict | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { maxTokens, budget } = program;
      const [epoch, owned] = [this.#epoch, this.#owned];
      const isLost = () => epoch !== this.#epoch;
      const turn = { programId, turnId: `t${this.#turnIds++}` };
      const req = create(BeginTurnRequestSchema, { ...turn, maxTokens, budget, retainMs: 60_000 });
      const begun = yield* Effect.raceFirst(owned.begin(req), this.#awaitLoss(isLost));
      if (isLost() || begun === undefined) return undefined;
      const { outage } = this.#opts;
      if (begun.verdict !== TurnVerdict.GRANTED) return begun.verdict;
      const startMs = (yield* Clock.currentTimeMillis) - 1000;
      if (outage !== undefined && startMs >= outage.fromMs && startMs < outage.untilMs) {
        this.#grantsInOutage += 1;
      }
      for (let elapsedMs = 0; elapsedMs < TURN_MS; elapsedMs += CLOCK_STEP_MS) {
        yield* Effect.sleep(CLOCK_STEP_MS);
        if (isLost()) {
          program.delivered += Math.floor(maxTokens * elapsedMs / TURN_MS);
          return undefined;
        }
      }
      program.delivered += maxTokens;
      yield* owned.end(create(EndTurnRequestSchema, { ...turn, tokens: maxTokens }));
      return TurnVerdict.GRANTED;
    });
  }

  #awaitLoss(isLost: () => boolean): Effect.Effect<undefined> {
    return Effect.gen(function* () {
      while (!isLost()) yield* Effect.sleep(CLOCK_STEP_MS);
      return undefined;
    });
  }
}
