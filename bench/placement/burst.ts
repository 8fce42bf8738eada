/** Simulates a burst of multi-turn programs on a few engines, in virtual time. */
import { UtilizationAdmission } from "../../src/routing/common/program_admission.ts";
import { SeededRandom } from "../../test/demo/random.ts";
import { EngineModel, idleTurnMs } from "./engine_model.ts";
import type { IEngineCapacity } from "./engine_model.ts";
import type { ITurnInput, PlacementStrategy } from "./engine_selectors.ts";
import { makeEngineSelector } from "./engine_selectors.ts";
import { LoadKnowledge, LoadReports } from "./load_reports.ts";

const SHARED_PREFIX_TOKENS = 12_600;
/** Number of prefixes that programs share; each prompt starts with one of them. */
const SHARED_PREFIX_COUNT = 6;
const MAX_TOKENS = 572;
const ARRIVAL_MS = 16_000;
const BURST_START_MS = 4000;
const BURST_END_MS = 10_000;
/** Time after the last arrival in which running programs may complete. */
const DRAIN_MS = 30_000;
/** A program is on time within its kind's goal factor times its latency on idle engines plus GOAL_ALLOWANCE_MS. */
const GOAL_ALLOWANCE_MS = 200;
/** Retries of a program that admission refused. */
const MAX_RETRIES = 4;
/** Urgency of priority 0, and its increase per priority level, as in the gateway. */
const BASE_URGENCY = 3;
const URGENCY_PER_PRIORITY = 2;

interface ITurn {
  readonly newTokens: number;
  readonly answerTokens: number;
  readonly pauseMs: number;
}

/** A kind of program. */
export interface IProgramKind {
  readonly name: string;
  readonly share: number;
  /** 0 is the highest. */
  readonly priority: number;
  readonly goalFactor: number;
  readonly makeTurns: (random: SeededRandom) => readonly ITurn[];
}

/** The servers and instances of a deployment. */
export interface IFleet {
  readonly instances: number;
  readonly engines: number;
  readonly engine: IEngineCapacity;
  readonly knowledge: LoadKnowledge;
  readonly kinds: readonly IProgramKind[];
}

/** Ten instances that know the loads exactly, and eight engines with ample memory. */
export const SMALL_FLEET: IFleet = {
  instances: 10,
  engines: 8,
  engine: { slots: 16, kvTokens: 10_000_000 },
  knowledge: LoadKnowledge.Exact,
  kinds: [{
    name: "mixed",
    share: 1,
    priority: 0,
    goalFactor: 1.6,
    makeTurns: (random) =>
      Array.from({ length: 2 + random.nextInt(7) }, (_, index) => ({
        newTokens: index === 0 ? 1200 : 400 + random.nextInt(3200),
        answerTokens: 66 + random.nextInt(396),
        pauseMs: 30 + random.nextInt(120),
      })),
  }],
};

/** Duration of a call of a plain service between turns, which every other program makes. */
const SERVICE_CALL_MS = 40;

function makeKind(
  { name, turns, newTokens, pauseMs, priority }: {
    name: string;
    turns: number;
    newTokens: number;
    pauseMs: number;
    priority: number;
  },
): IProgramKind {
  return {
    name,
    share: 0.5,
    priority,
    goalFactor: 1.4,
    makeTurns: (random) => {
      const serviceMs = random.nextInt(2) * SERVICE_CALL_MS;
      return Array.from({ length: turns }, () => ({
        newTokens,
        answerTokens: 240 + random.nextInt(60),
        pauseMs: pauseMs + serviceMs,
      }));
    },
  };
}

/** Long programs of high priority with short pauses, and short ones of lower priority. */
const LARGE_FLEET_KINDS = [
  makeKind({ name: "long", turns: 7, newTokens: 1680, pauseMs: 20, priority: 0 }),
  makeKind({ name: "short", turns: 3, newTokens: 840, pauseMs: 150, priority: 1 }),
];

/** Many instances on few large engines. */
export const LARGE_ENGINES_FLEET: IFleet = {
  instances: 88,
  engines: 31,
  engine: { slots: 12, kvTokens: 284_812 },
  knowledge: LoadKnowledge.Reported,
  kinds: LARGE_FLEET_KINDS,
};

/** More instances on more, smaller engines. */
export const SMALL_ENGINES_FLEET: IFleet = {
  instances: 195,
  engines: 44,
  engine: { slots: 6, kvTokens: 175_833 },
  knowledge: LoadKnowledge.Reported,
  kinds: LARGE_FLEET_KINDS,
};

export interface IBurstOptions {
  readonly strategy: PlacementStrategy;
  readonly seed: number;
  /** Arrival rate outside the burst, in programs per second. */
  readonly programsPerSecond: number;
  /** Factor on the arrival rate during the burst. */
  readonly burstFactor: number;
  readonly fleet: IFleet;
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
  readonly preemptions: number;
  /** Mean over the burst of the load of the busiest engine relative to the mean load. */
  readonly busiestOverMean: number;
  /** Programs that started during the burst, by kind. */
  readonly burst: ReadonlyMap<string, { programs: number; onTime: number; refused: number }>;
}

interface IProgram {
  readonly kind: IProgramKind;
  readonly turns: readonly ITurn[];
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
  readonly #engines: readonly EngineModel[];
  readonly #reports: LoadReports;
  readonly #engineSelector;
  readonly #admission = new UtilizationAdmission();
  readonly #scheduledTasks = new Map<number, (() => void)[]>();
  readonly #slowdowns: number[] = [];
  #now = 0;
  #programs = 0;
  #onTime = 0;
  #refused = 0;
  /** Programs that have neither completed nor been refused. */
  #active = 0;
  /** Tokens of all turn inputs so far, each counted once. */
  #newTokens = 0;
  #busiestOverMeanSum = 0;
  readonly #burst;

  constructor(opts: IBurstOptions) {
    this.#opts = opts;
    this.#random = new SeededRandom(opts.seed);
    const { instances, engines, engine, knowledge, kinds } = opts.fleet;
    this.#burst = new Map(kinds.map(({ name }) => [name, { programs: 0, onTime: 0, refused: 0 }]));
    this.#engines = Array.from({ length: engines }, (_, index) => new EngineModel(`e${index}`, engine));
    const engineIds = this.#engines.map(({ id }) => id);
    this.#reports = new LoadReports({ engineIds, instances, knowledge, now: () => this.#now });
    const reports = this.#reports;
    const choiceRandom = new SeededRandom(opts.seed + 1000);
    const random = () => choiceRandom.nextInt(1_000_000) / 1_000_000;
    this.#engineSelector = makeEngineSelector(opts.strategy, {
      engineIds,
      engine,
      instances,
      reports,
      random,
    });
  }

  run(): IBurstResult {
    for (; this.#now < ARRIVAL_MS + DRAIN_MS; this.#now++) {
      if (this.#now > ARRIVAL_MS && this.#active === 0) break;
      this.#reports.tick();
      if (this.#now < ARRIVAL_MS) this.#generateArrival();
      for (const task of this.#scheduledTasks.get(this.#now) ?? []) task();
      this.#scheduledTasks.delete(this.#now);
      for (const engine of this.#engines) engine.tick();
      if (this.#isBurst(this.#now)) this.#busiestOverMeanSum += this.#busiestOverMean();
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
      preemptions: this.#engines.reduce((sum, { preemptions }) => sum + preemptions, 0),
      busiestOverMean: this.#busiestOverMeanSum / (BURST_END_MS - BURST_START_MS),
      burst: this.#burst,
    };
  }

  #isBurst(atMs: number): boolean {
    return atMs >= BURST_START_MS && atMs < BURST_END_MS;
  }

  #busiestOverMean(): number {
    const loads = this.#engines.map(({ load }) => load);
    return Math.max(...loads) * loads.length / Math.max(1, loads.reduce((sum, load) => sum + load, 0));
  }

  /** A random number from 0 up to, not including, 1. */
  #randomFraction(): number {
    return this.#random.nextInt(1_000_000) / 1_000_000;
  }

  /** Starts the programs that arrive in 1 ms. */
  #generateArrival(): void {
    const { programsPerSecond, burstFactor, fleet } = this.#opts;
    const perMs = programsPerSecond * (this.#isBurst(this.#now) ? burstFactor : 1) / 1000;
    if (this.#randomFraction() >= perMs) return;
    // The sticky strategy hashes this id, so another format would change the results.
    const sessionId = `line-${this.#programs++}`;
    const kind = fleet.kinds.length === 1 ? fleet.kinds[0] : this.#random.pickWeighted(fleet.kinds);
    const turns = kind.makeTurns(this.#random);
    const idealMs = turns.reduce((sum, turn) => sum + idleTurnMs(turn) + turn.pauseMs, 0);
    const prefixCount = SHARED_PREFIX_COUNT / fleet.kinds.length;
    const firstPrefix = fleet.kinds.indexOf(kind) * prefixCount;
    const session = {
      sharedPrefixId: `shared-${firstPrefix + this.#random.nextInt(prefixCount)}`,
      sessionId,
      instanceIndex: this.#random.nextInt(fleet.instances),
    };
    const startedAtMs = this.#now;
    this.#active += 1;
    if (this.#isBurst(startedAtMs)) this.#burst.get(kind.name)!.programs += 1;
    this.#tryStart({ kind, turns, session, startedAtMs, idealMs, sessionTokens: 0, nextTurn: 0 }, 0);
  }

  #tryStart(program: IProgram, retries: number): void {
    const { fleet: { engine, instances } } = this.#opts;
    const loads = this.#reports.viewOf(program.session.instanceIndex);
    const decision = this.#admission.decide({
      engineUtilizations: this.#engines.map(({ id }) => loads.running(id) / engine.slots),
      priority: program.kind.priority,
      random: this.#randomFraction(),
    });
    if (decision.isAdmitted) return this.#runTurn(program);
    if (retries === MAX_RETRIES) {
      this.#refused += 1;
      this.#active -= 1;
      if (this.#isBurst(program.startedAtMs)) this.#burst.get(program.kind.name)!.refused += 1;
      return;
    }
    this.#schedule(this.#now + Math.round(decision.retryAfterMs), () => {
      if (instances > SMALL_FLEET.instances) program.session.instanceIndex = this.#random.nextInt(instances);
      this.#tryStart(program, retries + 1);
    });
  }

  #runTurn(program: IProgram): void {
    const { newTokens, answerTokens, pauseMs } = program.turns[program.nextTurn];
    program.sessionTokens += newTokens;
    this.#newTokens += newTokens;
    const { session } = program;
    if (this.#randomFraction() < this.#opts.roamingProbability) {
      session.instanceIndex = this.#random.nextInt(this.#opts.fleet.instances);
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
    const { instanceIndex } = session;
    this.#reports.recordRequestStart(instanceIndex, engineId);
    const onDone = () => {
      this.#reports.recordRequestEnd(instanceIndex, engineId);
      program.sessionTokens += answerTokens;
      program.nextTurn += 1;
      this.#engineSelector.recordCompletion({ ...turn, sessionTokens: program.sessionTokens }, engineId);
      if (program.nextTurn < program.turns.length) {
        this.#schedule(this.#now + pauseMs, () => this.#runTurn(program));
      } else this.#complete(program, pauseMs);
    };
    const urgency = BASE_URGENCY + URGENCY_PER_PRIORITY * program.kind.priority;
    engine.enqueue({ ...turn, answerTokens, urgency, onDone });
  }

  #complete({ startedAtMs, idealMs, kind }: IProgram, pauseMs: number): void {
    this.#active -= 1;
    const latencyMs = this.#now + pauseMs - startedAtMs;
    this.#slowdowns.push(latencyMs / idealMs);
    if (latencyMs > kind.goalFactor * idealMs + GOAL_ALLOWANCE_MS) return;
    this.#onTime += 1;
    if (this.#isBurst(startedAtMs)) this.#burst.get(kind.name)!.onTime += 1;
  }

  /** Runs a task at the given time, at the earliest in the next millisecond. */
  #schedule(atMs: number, task: () => void): void {
    const dueMs = Math.max(this.#now + 1, atMs);
    this.#scheduledTasks.set(dueMs, [...this.#scheduledTasks.get(dueMs) ?? [], task]);
  }
}
