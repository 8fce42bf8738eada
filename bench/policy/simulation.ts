/** Runs a mix of programs through the product's decision classes against stand-in engines, in virtual time. */
import { create } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Effect, Result } from "effect";
import { TestClock } from "effect/testing";
import type { Message } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { MessageSchema } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { hash32 } from "../../src/base/common/hash.ts";
import { InstanceRole, InstanceState } from "../../src/services/instances/common/instance_list.ts";
import type { Preset } from "../../src/services/settings/common/gen/configuration.ts";
import { BackendRegistry } from "../../src/routing/common/backend_registry.ts";
import { EngineAdmission } from "../../src/routing/common/engine_admission.ts";
import type { IProgramOrder } from "../../src/routing/common/program_order.ts";
import { Random } from "../../test/demo/random.ts";
import type { IEngineOptions } from "../../test/stand_ins/engine_core.ts";
import { EngineCore } from "../../test/stand_ins/engine_core.ts";
import type { IKindOfProgram, IMix } from "./mixes.ts";
import type { IPolicy } from "./policies.ts";

const MS_PER_SECOND = 1000;
const CHARS_PER_TOKEN = 4;
const STEP_MS = 50;
const RETRY_MS = 50;
const INSTANCES = 4;
const DRAIN_LIMIT_MS = 600_000;
const REPORT_LAG_MS = 2000;
const EVENT_LOSS = 0.3;
const CRASH_MS = 5000;

const ENGINE: Omit<IEngineOptions, "id" | "models"> = {
  slots: 8,
  kvCapacityTokens: 60_000,
  prefillTokensPerSecond: 4000,
  decodeTokensPerSecond: 50,
  tokensPerStep: 10,
};

export interface ISimulationOptions {
  readonly mix: IMix;
  readonly policy: IPolicy;
  /** Offered load as a share of what the engines can carry with a perfect cache. */
  readonly load: number;
  /** Whether an engine dies, reports lag and cache events are lost. */
  readonly withFaults: boolean;
  readonly seed: number;
  /** Time in which programs arrive, in ms. */
  readonly arrivalMs: number;
}

/** One finished program. */
export interface IFinished {
  readonly kind: string;
  readonly customer: string;
  readonly latencyMs: number;
  /** Latency without any waiting and with a perfect cache. */
  readonly idealMs: number;
  readonly hasMissedBell: boolean;
}

export interface ISimulationResult {
  readonly finished: readonly IFinished[];
  readonly unfinished: number;
  readonly refusals: number;
  /** Prefilled tokens that a cache had held. */
  readonly wastedTokens: number;
  readonly prefilledTokens: number;
}

interface IInstance {
  readonly admission: EngineAdmission;
  readonly order: IProgramOrder;
}

/** Mean time for which a program occupies a slot when its cache is perfect, in ms. */
export function meanSlotMs(mix: IMix): number {
  const mean = ([low, high]: readonly [number, number]) => (low + high) / 2;
  return mix.kinds.reduce((sum, kind) => {
    const turns = mean(kind.turns);
    const prefill = (mean(kind.firstTokens) + (turns - 1) * mean(kind.addedTokens)) /
      ENGINE.prefillTokensPerSecond;
    const decode = turns * mean(kind.answerTokens) / ENGINE.decodeTokensPerSecond;
    return sum + kind.share * (prefill + decode) * MS_PER_SECOND;
  }, 0);
}

class Simulation {
  readonly #opts: ISimulationOptions;
  readonly #engines: EngineCore[];
  readonly #instances: IInstance[] = [];
  readonly #finished: IFinished[] = [];
  readonly #preset: Preset;
  #started = 0;
  #refusals = 0;

  constructor(opts: ISimulationOptions) {
    this.#opts = opts;
    const { mix } = opts;
    this.#preset = mix.configuration.presets[mix.configuration.activePreset];
    this.#engines = Array.from(
      { length: mix.engines },
      (_, index) => new EngineCore({ ...ENGINE, id: `e${index}`, models: [mix.model] }),
    );
  }

  run(): Effect.Effect<ISimulationResult, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      if (this.#opts.withFaults) {
        this.#engines.forEach(({ faults }) =>
          Object.assign(faults, { reportLagMs: REPORT_LAG_MS, eventLoss: EVENT_LOSS })
        );
        yield* Effect.forkScoped(this.#crashOne());
      }
      for (let index = 0; index < INSTANCES; index++) this.#instances.push(yield* this.#makeInstance());
      yield* this.#pass(MS_PER_SECOND);
      yield* Effect.forkScoped(this.#arrive());
      yield* this.#pass(this.#opts.arrivalMs);
      for (
        let drained = 0;
        this.#finished.length < this.#started && drained < DRAIN_LIMIT_MS;
        drained += MS_PER_SECOND
      ) {
        yield* this.#pass(MS_PER_SECOND);
      }
      const sum = (read: (engine: EngineCore) => number) =>
        this.#engines.reduce((total, engine) => total + read(engine), 0);
      return {
        finished: this.#finished,
        unfinished: this.#started - this.#finished.length,
        refusals: this.#refusals,
        wastedTokens: sum(({ stats }) => stats.wastedPrefillTokens),
        prefilledTokens: sum(({ stats }) => stats.prefilledTokens),
      };
    });
  }

  #pass(ms: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        yield* TestClock.adjust(STEP_MS);
        yield* Effect.promise(() => new Promise<void>((resolve) => setImmediate(resolve)));
      }
    });
  }

  #makeInstance(): Effect.Effect<IInstance, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const list = this.#engines.map(({ id }) => ({
        id,
        role: InstanceRole.Engine,
        service: "",
        zone: "",
        address: id,
        state: InstanceState.Live,
      }));
      const registry = new BackendRegistry({
        instances: { list: () => Effect.succeed(list) },
        makeEngine: (address) => this.#engines.find(({ id }) => id === address)!,
        makeService: () => {
          throw new Error("the bench has no services");
        },
      });
      const order = this.#opts.policy.makeOrder(this.#preset);
      const chooser = this.#opts.policy.makeChooser(this.#preset);
      const admission = new EngineAdmission({ registry, chooser, order, preset: () => this.#preset });
      yield* registry.start();
      yield* admission.start();
      return { admission, order };
    });
  }

  #crashOne(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(this.#opts.arrivalMs / 3);
      this.#engines[0].crash();
      yield* Effect.sleep(CRASH_MS);
      this.#engines[0].restart();
    });
  }

  /** Programs arrive at random times at the offered rate. */
  #arrive(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { mix, load, arrivalMs, seed } = this.#opts;
      const random = new Random(seed);
      const gapMs = meanSlotMs(mix) / (mix.engines * ENGINE.slots) / load;
      const until = (yield* Clock.currentTimeMillis) + arrivalMs;
      while ((yield* Clock.currentTimeMillis) < until) {
        yield* Effect.sleep(-Math.log((random.below(1_000_000) + 1) / 1_000_001) * gapMs);
        const number = this.#started++;
        yield* Effect.forkDetach(this.#runProgram(number, random.pick(mix.kinds)));
      }
    });
  }

  #runProgram(number: number, kind: IKindOfProgram): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const random = new Random(this.#opts.seed * 1_000_003 + number);
      const draw = ([low, high]: readonly [number, number]) => low + random.below(high - low + 1);
      const id = `p${number}`;
      const instance = this.#instances[hash32(id) % INSTANCES];
      const startedAt = yield* Clock.currentTimeMillis;
      const deadlineMs = kind.bellMs === 0 ? 0 : startedAt + kind.bellMs;
      const messages: Message[] = [];
      const turns = draw(kind.turns);
      let idealMs = 0;
      let promptTokens = 0;
      for (let turn = 0; turn < turns; turn++) {
        const added = draw(turn === 0 ? kind.firstTokens : kind.addedTokens);
        const answer = draw(kind.answerTokens);
        const pauseMs = turn === turns - 1 ? 0 : draw(kind.pauseMs);
        messages.push(create(MessageSchema, { role: "user", content: fill(`answer:${answer}`, added) }));
        promptTokens += added;
        idealMs +=
          (added / ENGINE.prefillTokensPerSecond + answer / ENGINE.decodeTokensPerSecond) * MS_PER_SECOND +
          pauseMs;
        const call = { id, kind, messages, answer, promptTokens, deadlineMs, openedAtMs: startedAt };
        const text = yield* this.#call(instance, call);
        messages.push(create(MessageSchema, { role: "assistant", content: text }));
        promptTokens += answer;
        yield* Effect.sleep(pauseMs);
      }
      for (const engine of this.#engines) yield* Effect.ignore(engine.releaseKv([id]));
      const now = yield* Clock.currentTimeMillis;
      this.#finished.push({
        kind: kind.kind,
        customer: kind.customer,
        latencyMs: now - startedAt,
        idealMs,
        hasMissedBell: deadlineMs > 0 && now > deadlineMs,
      });
    });
  }

  /** One model call, tried again after refusals and failures as the product and its callers do. */
  #call(
    { admission, order }: IInstance,
    call: {
      id: string;
      kind: IKindOfProgram;
      messages: readonly Message[];
      answer: number;
      promptTokens: number;
      deadlineMs: number;
      openedAtMs: number;
    },
  ): Effect.Effect<string> {
    return Effect.gen({ self: this }, function* () {
      const { mix } = this.#opts;
      const queuedAtMs = yield* Clock.currentTimeMillis;
      const excluded = new Set<string>();
      const ordered = {
        class: mix.configuration.programKinds[call.kind.kind].class,
        deadlineMs: call.deadlineMs,
        openedAtMs: call.openedAtMs,
        weight: mix.configuration.customers[call.kind.customer]?.weight ?? 1,
        queuedAtMs,
      };
      for (let attempt = 1;; attempt++) {
        const req = {
          ...ordered,
          programId: call.id,
          model: mix.model,
          customer: call.kind.customer,
          promptTokens: call.promptTokens,
          expectedAnswerTokens: call.answer,
          isFirstCall: (this.#opts.policy.limitsStarts ?? false) && call.messages.length === 1,
          excluded,
        };
        const entered = yield* Effect.result(admission.enter(req));
        if (Result.isFailure(entered)) {
          this.#refusals += 1;
          excluded.clear();
          yield* Effect.sleep(Math.max(RETRY_MS, entered.failure.retryAfterMs));
          continue;
        }
        const { engine } = entered.success;
        const startedAt = yield* Clock.currentTimeMillis;
        const tokens: string[] = [];
        const generate = engine.client.generate({
          attemptId: `${call.id}-${call.messages.length}-${attempt}-${engine.id}`,
          programId: call.id,
          model: mix.model,
          messages: call.messages,
          maxTokens: call.answer,
          priority: order.priority(ordered, startedAt),
        }, ({ text }) => tokens.push(text));
        const outcome = yield* Effect.result(generate);
        const now = yield* Clock.currentTimeMillis;
        admission.leave(engine, Result.isSuccess(outcome) ? now - startedAt : undefined);
        if (Result.isSuccess(outcome)) {
          const { promptTokens, generatedTokens } = outcome.success.usage;
          engine.cache.noteRun(call.id, promptTokens + generatedTokens);
          return fill("", call.answer);
        }
        excluded.add(engine.id);
        yield* Effect.sleep(RETRY_MS);
      }
    });
  }
}

/** Text that counts as so many tokens as a message. */
function fill(text: string, tokens: number): string {
  const length = Math.max(1, (tokens - 4) * CHARS_PER_TOKEN);
  return `${text} ${"x".repeat(Math.max(0, length - text.length - 1))}`.slice(
    0,
    Math.max(length, text.length),
  );
}

/** Runs one simulation under a clock of its own. */
export function simulate(opts: ISimulationOptions): Promise<ISimulationResult> {
  const work = Effect.scoped(new Simulation(opts).run());
  return Effect.runPromise(Effect.provide(work, TestClock.layer()));
}
