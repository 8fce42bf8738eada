/** Token budget accounting for the programs of one slice. */

/**
 * Share of a budget that may be granted without a log record. The next owner counts it as spent after a
 * crash; at about a third, a program with typical usage still has enough left to finish.
 */
const UNRECORDED_SHARE = 0.36;
/** Share of the remaining budget that a record reserves ahead of use. */
const RESERVED_SHARE = 0.5;
/** Number of turns: the next record is scheduled when the reservation covers fewer than this. */
const MIN_RESERVED_TURNS = 2;
/** Maximum number of ended turns that are remembered, so that a late request to begin one of them is refused. */
const MAX_ENDED_TURNS = 2000;
/** Multiplier on the retention period before spending is evicted: allows for clock skew and long turns. */
const RETENTION_FACTOR = 2;

/** Whether a turn fits its program's budget. */
export enum GrantDecision {
  /** The turn may run immediately. */
  Granted = "granted",
  /** The turn may run only after the program's record has been appended to the log. */
  GrantedWhenRecorded = "granted-when-recorded",
  /** The remaining budget is smaller than the turn's token limit. */
  BudgetExhausted = "spent",
  /** The turn has ended: its request to begin arrives after the instance that sent it has given up. */
  AlreadyEnded = "already-ended",
}

/** A request to run a turn against its program's budget. */
export interface ITurnGrantRequest {
  readonly programId: string;
  readonly turnId: string;
  /** Maximum number of tokens that the turn may generate. */
  readonly maxTokens: number;
  /** Maximum number of tokens for all turns of the program together. */
  readonly budget: number;
  readonly retainMs: number;
}

/** A turn that has been granted and has not ended. */
export interface IRunningTurn {
  readonly turnId: string;
  readonly maxTokens: number;
}

/** A program's spending record in the log; supersedes the program's earlier records. */
export interface ISpendingRecord {
  readonly programId: string;
  /** Tokens of turns that have ended. */
  readonly spent: number;
  readonly running: readonly IRunningTurn[];
  /** Tokens reserved beyond `spent` and `running`: may be granted before the next record. */
  readonly ahead: number;
  readonly atMs: number;
  readonly retainMs: number;
}

interface IProgramSpending {
  readonly programId: string;
  /** Tokens of turns that have ended, plus what an earlier owner may have granted without a record. */
  spent: number;
  /** Token limit of each running turn, by turn id. */
  readonly running: Map<string, number>;
  /** Total number of tokens that the newest record covers; undefined without a record. */
  recordedLimit: number | undefined;
  /** Total number of tokens that may be granted without a record. */
  readonly unrecordedLimit: number;
  budget: number;
  lastUsedMs: number;
  retainMs: number;
}

/**
 * Grants turns against budgets in memory and writes log records asynchronously. Programs are many and
 * short, so that an append before each turn would add a store call and its latency to each; and during a
 * store outage, programs continue within the reservations already recorded.
 *
 * Safety does not depend on clocks. When an ownership ends without a release, the next owner counts the
 * full reservation of each record as spent. A program without a record may have been granted one turn and
 * a share of its budget: the share counts as spent, and no turn is granted before a record is written. So
 * no loss of state lets a program receive more than its budget plus one turn.
 */
export class SpendingLedger {
  readonly #programs = new Map<string, IProgramSpending>();
  readonly #dirty = new Set<IProgramSpending>();
  /** Ids of ended turns, in the order in which they ended. */
  readonly #ended = new Set<string>();
  /** Time at which an ownership was last found to have ended without a release; 0 if never. */
  #uncleanAtMs = 0;

  get size(): number {
    return this.#programs.size;
  }

  get uncleanAtMs(): number {
    return this.#uncleanAtMs;
  }

  /** Records that an ownership was found at `atMs` to have ended without a release. */
  markUnclean(atMs: number): void {
    this.#uncleanAtMs = Math.max(this.#uncleanAtMs, atMs);
  }

  /** Applies a record from the log or from the former owner; its reservation counts as spent. */
  restore({ programId, spent, running, ahead, atMs, retainMs }: ISpendingRecord): void {
    const program: IProgramSpending = {
      programId,
      spent: spent + ahead,
      running: new Map(running.map(({ turnId, maxTokens }) => [turnId, maxTokens])),
      recordedLimit: 0,
      unrecordedLimit: 0,
      budget: 0,
      lastUsedMs: atMs,
      retainMs,
    };
    program.recordedLimit = committedTokens(program);
    this.#programs.set(programId, program);
  }

  /** Reserves a turn's token limit from the budget; idempotent for a turn that is already running. */
  begin(request: ITurnGrantRequest, now: number): GrantDecision {
    if (this.#ended.has(request.turnId)) return GrantDecision.AlreadyEnded;
    const program = this.#programs.get(request.programId) ?? this.#addProgram(request, now);
    program.lastUsedMs = now;
    program.retainMs = Math.max(program.retainMs, request.retainMs);
    program.budget = request.budget;
    if (!program.running.has(request.turnId)) {
      if (committedTokens(program) + request.maxTokens > request.budget) return GrantDecision.BudgetExhausted;
      program.running.set(request.turnId, request.maxTokens);
    }
    if (needsRecord(program, request.maxTokens)) this.#dirty.add(program);
    if (committedTokens(program) <= grantableLimit(program)) return GrantDecision.Granted;
    this.#dirty.add(program);
    return GrantDecision.GrantedWhenRecorded;
  }

  /** Whether the program has delivered no tokens yet and has no other running turn. */
  isFresh(programId: string, turnId: string): boolean {
    const program = this.#programs.get(programId);
    if (program === undefined) return true;
    return program.spent === 0 && [...program.running.keys()].every((running) => running === turnId);
  }

  /** Whether a record in the log covers everything granted to the program. */
  isRecorded(programId: string): boolean {
    const program = this.#programs.get(programId);
    return program !== undefined && program.recordedLimit !== undefined &&
      committedTokens(program) <= program.recordedLimit;
  }

  /** Ends a turn, which may not have begun yet, and charges the tokens it delivered. Idempotent. */
  end(programId: string, { turnId, tokens }: { turnId: string; tokens: number }): void {
    this.#rememberEnded(turnId);
    const program = this.#programs.get(programId);
    const maxTokens = program?.running.get(turnId);
    if (program === undefined || maxTokens === undefined) return;
    program.running.delete(turnId);
    program.spent += Math.min(tokens, maxTokens);
  }

  #rememberEnded(turnId: string): void {
    this.#ended.add(turnId);
    if (this.#ended.size <= MAX_ENDED_TURNS) return;
    const [oldest] = this.#ended;
    this.#ended.delete(oldest);
  }

  /** Whether any program's record needs to be appended. */
  get isDirty(): boolean {
    return this.#dirty.size > 0;
  }

  /** Takes the records to append. From now on, grants stay within a new record where its limit is lower. */
  takeDirty(now: number): ISpendingRecord[] {
    const records = [...this.#dirty].map((program) =>
      this.#toRecord(program, { now, ahead: nextReservation(program) })
    );
    this.#dirty.clear();
    return records;
  }

  /** Confirms that the records have been appended, which makes their reservations available. */
  markRecorded(records: readonly ISpendingRecord[]): void {
    for (const record of records) {
      const program = this.#programs.get(record.programId);
      if (program !== undefined) program.recordedLimit = recordLimit(record);
    }
  }

  /** Records of all programs without a reservation, for the end of an ownership. */
  settle(now: number): ISpendingRecord[] {
    this.#dirty.clear();
    return [...this.#programs.values()].map((program) => this.#toRecord(program, { now, ahead: 0 }));
  }

  /** Records of all programs, for a checkpoint. */
  snapshot(now: number): ISpendingRecord[] {
    this.#evictExpired(now);
    return [...this.#programs.values()].map((program) =>
      this.#toRecord(program, { now: program.lastUsedMs, ahead: nextReservation(program) })
    );
  }

  /** Removes idle programs whose retention period has passed. */
  #evictExpired(now: number): void {
    for (const [programId, { running, lastUsedMs, retainMs }] of this.#programs) {
      if (running.size === 0 && now - lastUsedMs > retainMs * RETENTION_FACTOR) {
        this.#programs.delete(programId);
      }
    }
  }

  /**
   * Adds a program that has no record. Within the retention period after an unclean end, an earlier owner may
   * have granted it the unrecorded share, which counts as spent.
   */
  #addProgram({ programId, maxTokens, budget, retainMs }: ITurnGrantRequest, now: number): IProgramSpending {
    const unrecordedShare = Math.max(0, Math.min(Math.floor(budget * UNRECORDED_SHARE), budget - maxTokens));
    const isAfterUncleanEnd = this.#uncleanAtMs > 0 && now < this.#uncleanAtMs + retainMs * RETENTION_FACTOR;
    const program: IProgramSpending = {
      programId,
      spent: isAfterUncleanEnd ? unrecordedShare : 0,
      running: new Map(),
      recordedLimit: undefined,
      unrecordedLimit: isAfterUncleanEnd ? 0 : maxTokens + unrecordedShare,
      budget,
      lastUsedMs: now,
      retainMs,
    };
    this.#programs.set(programId, program);
    return program;
  }

  #toRecord(program: IProgramSpending, { now, ahead }: { now: number; ahead: number }): ISpendingRecord {
    const { programId, spent, retainMs } = program;
    const running = [...program.running].map(([turnId, maxTokens]) => ({ turnId, maxTokens }));
    const record = { programId, spent, running, ahead, atMs: now, retainMs };
    if (program.recordedLimit !== undefined) {
      program.recordedLimit = Math.min(program.recordedLimit, recordLimit(record));
    }
    return record;
  }
}

/** Upper bound of the tokens that a program can have delivered so far. */
function committedTokens({ spent, running }: Pick<IProgramSpending, "spent" | "running">): number {
  let sum = spent;
  for (const maxTokens of running.values()) sum += maxTokens;
  return sum;
}

/** Total number of tokens that may be granted to a program before its next record. */
function grantableLimit({ recordedLimit, unrecordedLimit }: IProgramSpending): number {
  return recordedLimit ?? unrecordedLimit;
}

/** Whether a program has no record, or one whose reservation is nearly used up. */
function needsRecord(program: IProgramSpending, maxTokens: number): boolean {
  if (program.recordedLimit === undefined) return true;
  const available = program.recordedLimit - committedTokens(program);
  return program.recordedLimit < program.budget && available < maxTokens * MIN_RESERVED_TURNS;
}

/** Reservation of the next record: covers at least what may be granted while the append is in flight. */
function nextReservation(program: IProgramSpending): number {
  const committed = committedTokens(program);
  const share = Math.floor(Math.max(0, program.budget - committed) * RESERVED_SHARE);
  const unrecorded = program.recordedLimit === undefined
    ? Math.max(0, program.unrecordedLimit - committed)
    : 0;
  return Math.max(share, unrecorded);
}

/** Total number of tokens that a record covers. */
function recordLimit({ spent, running, ahead }: ISpendingRecord): number {
  return running.reduce((sum, { maxTokens }) => sum + maxTokens, spent + ahead);
}
