/** Runs a workload mix through the product's scheduling classes on fake engines, in virtual time. */
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
import type { ICallPriorityPolicy } from "../../src/routing/common/call_priority.ts";
import { SeededRandom } from "../../test/demo/random.ts";
import type { IEngineOptions } from "../../test/stand_ins/engine_core.ts";
import { EngineCore } from "../../test/stand_ins/engine_core.ts";
import type { IProgramKind, IWorkloadMix } from "./workload_mixes.ts";
import type { ISchedulingPolicy } from "./policies.ts";

const MS_PER_SECOND = 1000;
const CHARS_PER_TOKEN = 4;
const CLOCK_STEP_MS = 50;
const RETRY_INTERVAL_MS = 50;
const INSTANCE_COUNT = 4;
const DRAIN_TIMEOUT_MS = 600_000;
const LOAD_REPORT_LAG_MS = 2000;
const CACHE_EVENT_LOSS_RATE = 0.3;
const ENGINE_DOWNTIME_MS = 5000;

const ENGINE_OPTIONS: Omit<IEngineOptions, "id" | "models"> = {
  slots: 8,
  kvCapacityTokens: 60_000,
  prefillTokensPerSecond: 4000,
  decodeTokensPerSecond: 50,
  tokensPerDecodeStep: 10,
};

export interface ISimulationOptions {
  readonly mix: IWorkloadMix;
  readonly policy: ISchedulingPolicy;
  /** Offered load as a share of the engines' capacity with a perfect prefix cache. */
  readonly load: number;
  /** Whether one engine crashes, load reports lag and cache events are lost. */
  readonly withFaults: boolean;
  readonly seed: number;
  /** Duration in which programs arrive. */
  readonly arrivalMs: number;
}

export interface IFinishedProgram {
  readonly kind: string;
  readonly customer: string;
  readonly latencyMs: number;
  /** Latency without queueing, with a perfect prefix cache. */
  readonly idealMs: number;
  readonly hasMissedDeadline: boolean;
}

export interface ISimulationResult {
  readonly finished: readonly IFinishedProgram[];
  readonly unfinished: number;
  readonly refusals: number;
  /** Prefilled tokens that the engine had cached for the same program before. */
  readonly wastedTokens: number;
  readonly prefilledTokens: number;
}

interface IInstance {
  readonly admission: EngineAdmission;
  readonly priorityPolicy: ICallPriorityPolicy;
}

/** Mean time for which a program occupies an engine slot with a perfect prefix cache, in ms. */
export function meanSlotOccupancyMs(mix: IWorkloadMix): number {
  const mean = ([low, high]: readonly [number, number]) => (low + high) / 2;
  return mix.kinds.reduce((sum, kind) => {
    const turns = mean(kind.turns);
    const prefill = (mean(kind.firstTokens) + (turns - 1) * mean(kind.addedTokens)) /
      ENGINE_OPTIONS.prefillTokensPerSecond;
    const decode = turns * mean(kind.answerTokens) / ENGINE_OPTIONS.decodeTokensPerSecond;
    return sum + kind.share * (prefill + decode) * MS_PER_SECOND;
  }, 0);
}

class Simulation {
  readonly #opts: ISimulationOptions;
  readonly #engines: EngineCore[];
  readonly #instances: IInstance[] = [];
  readonly #finished: IFinishedProgram[] = [];
  readonly #preset: Preset;
  #startedCount = 0;
  #refusalCount = 0;

  constructor(opts: ISimulationOptions) {
    this.#opts = opts;
    const { mix } = opts;
    this.#preset = mix.configuration.presets[mix.configuration.activePreset];
    this.#engines = Array.from(
      { length: mix.engines },
      (_, index) => new EngineCore({ ...ENGINE_OPTIONS, id: `e${index}`, models: [mix.model] }),
    );
  }

  run(): Effect.Effect<ISimulationResult, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      if (this.#opts.withFaults) {
        this.#engines.forEach(({ faults }) =>
          Object.assign(faults, { reportLagMs: LOAD_REPORT_LAG_MS, eventLoss: CACHE_EVENT_LOSS_RATE })
        );
        yield* Effect.forkScoped(this.#crashFirstEngine());
      }
      for (let index = 0; index < INSTANCE_COUNT; index++) this.#instances.push(yield* this.#makeInstance());
      yield* this.#advanceClock(MS_PER_SECOND);
      yield* Effect.forkScoped(this.#generateArrivals());
      yield* this.#advanceClock(this.#opts.arrivalMs);
      for (
        let drainMs = 0;
        this.#finished.length < this.#startedCount && drainMs < DRAIN_TIMEOUT_MS;
        drainMs += MS_PER_SECOND
      ) {
        yield* this.#advanceClock(MS_PER_SECOND);
      }
      const sumStats = (read: (engine: EngineCore) => number) =>
        this.#engines.reduce((total, engine) => total + read(engine), 0);
      return {
        finished: this.#finished,
        unfinished: this.#startedCount - this.#finished.length,
        refusals: this.#refusalCount,
        wastedTokens: sumStats(({ stats }) => stats.wastedPrefillTokens),
        prefilledTokens: sumStats(({ stats }) => stats.prefilledTokens),
      };
    });
  }

  #advanceClock(ms: number): Effect.Effect<void> {
    return Effect.gen(function* () {
      for (let elapsed = 0; elapsed < ms; elapsed += CLOCK_STEP_MS) {
        yield* TestClock.adjust(CLOCK_STEP_MS);
        yield* Effect.promise(() => new Promise<void>((resolve) => setImmediate(resolve)));
      }
    });
  }

  #makeInstance(): Effect.Effect<IInstance, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const instances = this.#engines.map(({ id }) => ({
        id,
        role: InstanceRole.Engine,
        service: "",
        zone: "",
        address: id,
        state: InstanceState.Live,
      }));
      const registry = new BackendRegistry({
        instances: { list: () => Effect.succeed(instances) },
        makeEngine: (address) => this.#engines.find(({ id }) => id === address)!,
        makeService: () => {
          throw new Error("the policy simulation has no service backends");
        },
      });
      const priorityPolicy = this.#opts.policy.makePriorityPolicy(this.#preset);
      const chooser = this.#opts.policy.makeChooser(this.#preset);
      const admission = new EngineAdmission({
        registry,
        chooser,
        priorityPolicy,
        preset: () => this.#preset,
      });
      yield* registry.start();
      yield* admission.start();
      return { admission, priorityPolicy };
    });
  }

  #crashFirstEngine(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(this.#opts.arrivalMs / 3);
      this.#engines[0].crash();
      yield* Effect.sleep(ENGINE_DOWNTIME_MS);
      this.#engines[0].restart();
    });
  }

  /** Starts programs at exponentially distributed intervals, at the offered load. */
  #generateArrivals(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { mix, load, arrivalMs, seed } = this.#opts;
      const random = new SeededRandom(seed);
      const meanIntervalMs = meanSlotOccupancyMs(mix) / (mix.engines * ENGINE_OPTIONS.slots) / load;
      const endAt = (yield* Clock.currentTimeMillis) + arrivalMs;
      while ((yield* Clock.currentTimeMillis) < endAt) {
        yield* Effect.sleep(-Math.log((random.nextInt(1_000_000) + 1) / 1_000_001) * meanIntervalMs);
        const number = this.#startedCount++;
        yield* Effect.forkDetach(this.#runProgram(number, random.pickWeighted(mix.kinds)));
      }
    });
  }

  #runProgram(number: number, kind: IProgramKind): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const random = new SeededRandom(this.#opts.seed * 1_000_003 + number);
      const draw = ([low, high]: readonly [number, number]) => low + random.nextInt(high - low + 1);
      const id = `p${number}`;
      const instance = this.#instances[hash32(id) % INSTANCE_COUNT];
      const startedAt = yield* Clock.currentTimeMillis;
      const deadlineMs = kind.timeToDeadlineMs === 0 ? 0 : startedAt + kind.timeToDeadlineMs;
      const messages: Message[] = [];
      const turns = draw(kind.turns);
      let idealMs = 0;
      let promptTokens = 0;
      for (let turn = 0; turn < turns; turn++) {
        const added = draw(turn === 0 ? kind.firstTokens : kind.addedTokens);
        const answer = draw(kind.answerTokens);
        const pauseMs = turn === turns - 1 ? 0 : draw(kind.pauseMs);
        messages.push(
          create(MessageSchema, { role: "user", content: padToTokens(`answer:${answer}`, added) }),
        );
        promptTokens += added;
        idealMs +=
          (added / ENGINE_OPTIONS.prefillTokensPerSecond + answer / ENGINE_OPTIONS.decodeTokensPerSecond) *
            MS_PER_SECOND +
          pauseMs;
        const call = { id, kind, messages, answer, promptTokens, deadlineMs, openedAtMs: startedAt };
        const text = yield* this.#runModelCall(instance, call);
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
        hasMissedDeadline: deadlineMs > 0 && now > deadlineMs,
      });
    });
  }

  /** Runs one model call, retrying after refusals and failures as the product and its callers do. */
  #runModelCall(
    { admission, priorityPolicy }: IInstance,
    call: {
      id: string;
      kind: IProgramKind;
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
      const priorityInput = {
        class: mix.configuration.programKinds[call.kind.kind].class,
        deadlineMs: call.deadlineMs,
        openedAtMs: call.openedAtMs,
        weight: mix.configuration.customers[call.kind.customer]?.weight ?? 1,
        queuedAtMs,
      };
      for (let attempt = 1;; attempt++) {
        const req = {
          ...priorityInput,
          programId: call.id,
          model: mix.model,
          customer: call.kind.customer,
          promptTokens: call.promptTokens,
          expectedAnswerTokens: call.answer,
          isFirstCall: (this.#opts.policy.limitsStarts ?? false) && call.messages.length === 1,
          excluded,
        };
        const admitted = yield* Effect.result(admission.acquire(req));
        if (Result.isFailure(admitted)) {
          this.#refusalCount += 1;
          excluded.clear();
          yield* Effect.sleep(Math.max(RETRY_INTERVAL_MS, admitted.failure.retryAfterMs));
          continue;
        }
        const { engine } = admitted.success;
        const startedAt = yield* Clock.currentTimeMillis;
        const tokens: string[] = [];
        const generate = engine.client.generate({
          attemptId: `${call.id}-${call.messages.length}-${attempt}-${engine.id}`,
          programId: call.id,
          model: mix.model,
          messages: call.messages,
          maxTokens: call.answer,
          priority: priorityPolicy.priority(priorityInput, startedAt),
        }, ({ text }) => tokens.push(text));
        const outcome = yield* Effect.result(generate);
        const now = yield* Clock.currentTimeMillis;
        admission.release(engine, Result.isSuccess(outcome) ? now - startedAt : undefined);
        if (Result.isSuccess(outcome)) {
          const { promptTokens, generatedTokens } = outcome.success.usage;
          engine.cache.recordCall(call.id, promptTokens + generatedTokens);
          return padToTokens("", call.answer);
        }
        excluded.add(engine.id);
        yield* Effect.sleep(RETRY_INTERVAL_MS);
      }
    });
  }
}

/** Pads a text so that a message with it counts as the given number of tokens. */
function padToTokens(text: string, tokens: number): string {
  const length = Math.max(1, (tokens - 4) * CHARS_PER_TOKEN);
  return `${text} ${"x".repeat(Math.max(0, length - text.length - 1))}`.slice(
    0,
    Math.max(length, text.length),
  );
}

/** Runs one simulation with its own virtual clock. */
export function simulate(opts: ISimulationOptions): Promise<ISimulationResult> {
  const simulation = Effect.scoped(new Simulation(opts).run());
  return Effect.runPromise(Effect.provide(simulation, TestClock.layer()));
}
