/** Simulates a burst of multi-turn programs on a few engines, in virtual time. */
import { UtilizationAdmission } from "../../src/routing/common/program_admission.ts";
import { SeededRandom } from "../../test/demo/random.ts";
import { EngineModel, idleTurnMs } from "./engine_model.ts";
import type { ITurnInput, PlacementStrategy } from "./engine_selectors.ts";
import { makeEngineSelector } from "./engine_selectors.ts";

const ENGINE_COUNT = 8;
const SLOTS_PER_ENGINE = 16;
const INSTANCE_COUNT = 10;
const SHARED_PREFIX_TOKENS = 12_600;
/** Number of prefixes that programs share; each prompt starts with one of them. */
const SHARED_PREFIX_COUNT = 6;
const MAX_TOKENS = 572;
const ARRIVAL_MS = 16_000;
const BURST_START_MS = 4000;
const BURST_END_MS = 10_000;
/** Time after the last arrival in which running programs may complete. */
const DRAIN_MS = 30_000;
/** A program is on time within GOAL_FACTOR times its latency on idle engines plus GOAL_ALLOWANCE_MS. */
const GOAL_FACTOR = 1.6;
const GOAL_ALLOWANCE_MS = 200;
/** Retries of a program that admission refused. */
const MAX_RETRIES = 4;

export interface IBurstOptions {
  readonly strategy: PlacementStrategy;
  readonly seed: number;
  /** Arrival rate outside the burst, in programs per second. */
  readonly programsPerSecond: number;
  /** Factor on the arrival rate during the burst. */
  readonly burstFactor: number;
  /** Probability that a turn arrives at a randomly chosen instance instead of that of the previous turn. */
  readonly roamingProbability: number;
}

export interface IBurstResult {
  readonly programs: number;
  /** Programs that completed within their latency goal. */
  readonly onTime: number;
  readonly refused: number;
  /** 95th percentile of the slowdown of completed programs: their latency over that on idle engines. */
  readonly slowdownP95: number;
  readonly prefilledTokens: number;
  /** Prompt tokens that were prefilled although some engine had prefilled them before. */
  readonly wastedTokens: number;
}

interface IProgram {
  readonly turns: readonly {
    readonly newTokens: number;
    readonly answerTokens: number;
    readonly pauseMs: number;
  }[];
  /** Identity of the session, its shared prefix and the instance that receives its next turn. */
  readonly session: { sharedPrefixId: string; sessionId: string; instanceIndex: number };
  readonly startedAtMs: number;
  readonly idealMs: number;
  /** Tokens of the program's history beyond the shared prefix. */
  sessionTokens: number;
  nextTurn: number;
}

export function simulateBurst(opts: IBurstOptions): IBurstResult {
  return new BurstSimulation(opts).run();
}

class BurstSimulation {
  readonly #opts: IBurstOptions;
  readonly #random: SeededRandom;
  readonly #engines = Array.from(
    { length: ENGINE_COUNT },
    (_, index) => new EngineModel(`e${index}`, SLOTS_PER_ENGINE),
  );
  readonly #engineSelector;
  readonly #admission = new UtilizationAdmission();
  readonly #scheduledTasks = new Map<number, (() => void)[]>();
  readonly #slowdowns: number[] = [];
  #now = 0;
  #programs = 0;
  #onTime = 0;
  #refused = 0;
  /** Tokens of all turn inputs so far, each counted once. */
  #newTokens = 0;

  constructor(opts: IBurstOptions) {
    this.#opts = opts;
    this.#random = new SeededRandom(opts.seed);
    this.#engineSelector = makeEngineSelector(
      opts.strategy,
      this.#engines.map(({ id }) => id),
      INSTANCE_COUNT,
    );
  }

  run(): IBurstResult {
    for (; this.#now < ARRIVAL_MS + DRAIN_MS; this.#now++) {
      if (this.#now < ARRIVAL_MS) this.#generateArrival();
      for (const task of this.#scheduledTasks.get(this.#now) ?? []) task();
      this.#scheduledTasks.delete(this.#now);
      for (const engine of this.#engines) engine.tick();
    }
    const sorted = this.#slowdowns.sort((a, b) => a - b);
    const prefilledTokens = this.#engines.reduce((sum, { prefilledTokens }) => sum + prefilledTokens, 0);
    return {
      programs: this.#programs,
      onTime: this.#onTime,
      refused: this.#refused,
      slowdownP95: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      prefilledTokens,
      wastedTokens: prefilledTokens - this.#newTokens - SHARED_PREFIX_COUNT * SHARED_PREFIX_TOKENS,
    };
  }

  /** A random number from 0 up to, not including, 1. */
  #randomFraction(): number {
    return this.#random.nextInt(1_000_000) / 1_000_000;
  }

  /** Starts a program with the probability that the arrival rate gives for 1 ms. */
  #generateArrival(): void {
    const isBurst = this.#now >= BURST_START_MS && this.#now < BURST_END_MS;
    const perMs = this.#opts.programsPerSecond * (isBurst ? this.#opts.burstFactor : 1) / 1000;
    if (this.#randomFraction() >= perMs) return;
    // The sticky strategy hashes this id, so another format would change the results.
    const sessionId = `line-${this.#programs++}`;
    const turns = Array.from({ length: 2 + this.#random.nextInt(7) }, (_, index) => ({
      newTokens: index === 0 ? 1200 : 400 + this.#random.nextInt(3200),
      answerTokens: 66 + this.#random.nextInt(396),
      pauseMs: 30 + this.#random.nextInt(120),
    }));
    const idealMs = turns.reduce((sum, turn) => sum + idleTurnMs(turn) + turn.pauseMs, 0);
    const session = {
      sharedPrefixId: `shared-${this.#random.nextInt(SHARED_PREFIX_COUNT)}`,
      sessionId,
      instanceIndex: this.#random.nextInt(INSTANCE_COUNT),
    };
    this.#tryStart({ turns, session, startedAtMs: this.#now, idealMs, sessionTokens: 0, nextTurn: 0 }, 0);
  }

  #tryStart(program: IProgram, retries: number): void {
    const engineUtilizations = this.#engines.map(({ load }) => load / SLOTS_PER_ENGINE);
    const decision = this.#admission.decide({
      engineUtilizations,
      priority: 0,
      random: this.#randomFraction(),
    });
    if (decision.isAdmitted) return this.#runTurn(program);
    if (retries === MAX_RETRIES) this.#refused += 1;
    else {
      this.#schedule(
        this.#now + Math.round(decision.retryAfterMs),
        () => this.#tryStart(program, retries + 1),
      );
    }
  }

  #runTurn(program: IProgram): void {
    const { newTokens, answerTokens, pauseMs } = program.turns[program.nextTurn];
    program.sessionTokens += newTokens;
    this.#newTokens += newTokens;
    const { session } = program;
    if (this.#randomFraction() < this.#opts.roamingProbability) {
      session.instanceIndex = this.#random.nextInt(INSTANCE_COUNT);
    }
    const turn: ITurnInput = {
      ...session,
      sharedPrefixTokens: SHARED_PREFIX_TOKENS,
      sessionTokens: program.sessionTokens,
      maxTokens: MAX_TOKENS,
    };
    const loads = new Map(this.#engines.map(({ id, load }) => [id, load]));
    const engineId = this.#engineSelector.choose(turn, loads);
    const engine = this.#engines.find(({ id }) => id === engineId)!;
    const onDone = () => {
      program.sessionTokens += answerTokens;
      program.nextTurn += 1;
      this.#engineSelector.recordCompletion({ ...turn, sessionTokens: program.sessionTokens }, engineId);
      if (program.nextTurn < program.turns.length) {
        this.#schedule(this.#now + pauseMs, () => this.#runTurn(program));
      } else this.#complete(program, pauseMs);
    };
    engine.enqueue({ ...turn, answerTokens, onDone });
  }

  #complete({ startedAtMs, idealMs }: IProgram, pauseMs: number): void {
    const latencyMs = this.#now + pauseMs - startedAtMs;
    this.#slowdowns.push(latencyMs / idealMs);
    if (latencyMs <= GOAL_FACTOR * idealMs + GOAL_ALLOWANCE_MS) this.#onTime += 1;
  }

  /** Runs a task at the given time, at the earliest in the next millisecond. */
  #schedule(atMs: number, task: () => void): void {
    const dueMs = Math.max(this.#now + 1, atMs);
    this.#scheduledTasks.set(dueMs, [...this.#scheduledTasks.get(dueMs) ?? [], task]);
  }
}
