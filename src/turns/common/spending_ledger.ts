/** What the programs of one slice have spent of their token budgets. */

/**
 * Share of a budget that may be at risk in a crash: granted without a record, and counted as spent by
 * the next owner. A third leaves a program that spends as usual enough to finish.
 */
const UNRECORDED_SHARE = 0.36;
/** Share of what is left of a budget for which a record leaves room. */
const AHEAD_SHARE = 0.5;
/** Turns of room from which on the next record is written. */
const LOW_ROOM_TURNS = 2;
/** Factor on the retention after which spending is forgotten: covers clocks that differ and long turns. */
const RETENTION_MARGIN = 2;

export enum Spending {
  /** The turn may run at once. */
  Granted = "granted",
  /** The turn may run once the program's record is in the log. */
  GrantedWhenRecorded = "granted-when-recorded",
  /** The budget does not hold the turn. */
  Spent = "spent",
}

export interface ITurnGrant {
  readonly programId: string;
  readonly turnId: string;
  /** Most tokens that the turn may generate. */
  readonly maxTokens: number;
  /** Tokens that all turns of the program may generate. */
  readonly budget: number;
  readonly retainMs: number;
}

export interface IRunningTurn {
  readonly turnId: string;
  readonly maxTokens: number;
}

/** A program's record in the log. */
export interface ISpendingRecord {
  readonly programId: string;
  /** Tokens of turns that have ended. */
  readonly spent: number;
  readonly running: readonly IRunningTurn[];
  /** What may be granted beyond spent and running before a further record. */
  readonly ahead: number;
  readonly atMs: number;
  readonly retainMs: number;
}

interface IProgramSpending {
  readonly programId: string;
  /** Tokens of turns that have ended, and what an earlier owner may have granted without a record. */
  spent: number;
  /** Most tokens of each running turn. */
  readonly running: Map<string, number>;
  /** Up to where the newest record reaches; undefined without one. */
  limit: number | undefined;
  /** Up to where the program may go without a record. */
  readonly unrecorded: number;
  budget: number;
  lastUsedMs: number;
  retainMs: number;
}

/**
 * Grants turns against budgets in memory and has records follow in the log. Load pattern: many short
 * programs, where an append before each turn would cost a call to the store and its latency; and
 * outages of the store, in which programs go on inside what is recorded.
 *
 * Safety does not rest on time. After an unclean end of an ownership, all that a record left room for
 * counts as spent. A program without a record may have got one turn and a share of its budget: the
 * share counts as spent, and nothing further is granted before a record. So whatever is forgotten, a
 * program gets at most its budget and one turn.
 */
export class SpendingLedger {
  readonly #programs = new Map<string, IProgramSpending>();
  readonly #dirty = new Set<IProgramSpending>();
  /** When an ownership was last found to have ended without a release; 0 if never. */
  #uncleanAtMs = 0;

  get size(): number {
    return this.#programs.size;
  }

  get uncleanAtMs(): number {
    return this.#uncleanAtMs;
  }

  /** Notes when an ownership was found to have ended without a release. */
  markUnclean(atMs: number): void {
    this.#uncleanAtMs = Math.max(this.#uncleanAtMs, atMs);
  }

  /** Takes up a record read from the log. */
  restore({ programId, spent, running, ahead, atMs, retainMs }: ISpendingRecord): void {
    const program: IProgramSpending = {
      programId,
      spent: spent + ahead,
      running: new Map(running.map(({ turnId, maxTokens }) => [turnId, maxTokens])),
      limit: 0,
      unrecorded: 0,
      budget: 0,
      lastUsedMs: atMs,
      retainMs,
    };
    program.limit = committed(program);
    this.#programs.set(programId, program);
  }

  begin(grant: ITurnGrant, now: number): Spending {
    const program = this.#programs.get(grant.programId) ?? this.#open(grant, now);
    program.lastUsedMs = now;
    program.retainMs = Math.max(program.retainMs, grant.retainMs);
    program.budget = grant.budget;
    if (!program.running.has(grant.turnId)) {
      if (committed(program) + grant.maxTokens > grant.budget) return Spending.Spent;
      program.running.set(grant.turnId, grant.maxTokens);
    }
    if (isLow(program, grant.maxTokens)) this.#dirty.add(program);
    if (committed(program) <= reach(program)) return Spending.Granted;
    this.#dirty.add(program);
    return Spending.GrantedWhenRecorded;
  }

  /** Whether a program has delivered nothing yet and has no other turn running. */
  isFresh(programId: string, turnId: string): boolean {
    const program = this.#programs.get(programId);
    if (program === undefined) return true;
    return program.spent === 0 && [...program.running.keys()].every((running) => running === turnId);
  }

  /** Whether the log holds a record for all that the program has been granted. */
  isRecorded(programId: string): boolean {
    const program = this.#programs.get(programId);
    return program !== undefined && program.limit !== undefined && committed(program) <= program.limit;
  }

  /** Notes what a turn has delivered; a turn that is not known (any more) changes nothing. */
  end(programId: string, { turnId, tokens }: { turnId: string; tokens: number }): void {
    const program = this.#programs.get(programId);
    const most = program?.running.get(turnId);
    if (program === undefined || most === undefined) return;
    program.running.delete(turnId);
    program.spent += Math.min(tokens, most);
  }

  /** Whether records wait to be appended. */
  get isDirty(): boolean {
    return this.#dirty.size > 0;
  }

  /** Records to append; each supersedes the program's earlier ones, from now on also in what is granted. */
  takeDirty(now: number): ISpendingRecord[] {
    const records = [...this.#dirty].map((program) =>
      this.#toRecord(program, { now, ahead: aheadOf(program) })
    );
    this.#dirty.clear();
    return records;
  }

  /** Notes that records are in the log. */
  noteRecorded(records: readonly ISpendingRecord[]): void {
    for (const record of records) {
      const program = this.#programs.get(record.programId);
      if (program !== undefined) program.limit = limitOf(record);
    }
  }

  /** Records without room, for the end of an ownership. */
  settle(now: number): ISpendingRecord[] {
    this.#dirty.clear();
    return [...this.#programs.values()].map((program) => this.#toRecord(program, { now, ahead: 0 }));
  }

  /** Records of all programs, for a checkpoint. */
  snapshot(now: number): ISpendingRecord[] {
    this.#forget(now);
    return [...this.#programs.values()].map((program) =>
      this.#toRecord(program, { now: program.lastUsedMs, ahead: aheadOf(program) })
    );
  }

  /** Drops programs that have been idle beyond their retention. */
  #forget(now: number): void {
    for (const [programId, { running, lastUsedMs, retainMs }] of this.#programs) {
      if (running.size === 0 && now - lastUsedMs > retainMs * RETENTION_MARGIN) {
        this.#programs.delete(programId);
      }
    }
  }

  #open({ programId, maxTokens, budget, retainMs }: ITurnGrant, now: number): IProgramSpending {
    const atRisk = Math.max(0, Math.min(Math.floor(budget * UNRECORDED_SHARE), budget - maxTokens));
    const isUnclean = this.#uncleanAtMs > 0 && now < this.#uncleanAtMs + retainMs * RETENTION_MARGIN;
    const program: IProgramSpending = {
      programId,
      spent: isUnclean ? atRisk : 0,
      running: new Map(),
      limit: undefined,
      unrecorded: isUnclean ? 0 : maxTokens + atRisk,
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
    if (program.limit !== undefined) program.limit = Math.min(program.limit, limitOf(record));
    return record;
  }
}

/** Most that a program can have delivered so far. */
function committed({ spent, running }: Pick<IProgramSpending, "spent" | "running">): number {
  let sum = spent;
  for (const most of running.values()) sum += most;
  return sum;
}

/** Up to where a program may go now. */
function reach({ limit, unrecorded }: IProgramSpending): number {
  return limit ?? unrecorded;
}

/** Whether a program has no record, or one that it will soon reach. */
function isLow(program: IProgramSpending, maxTokens: number): boolean {
  if (program.limit === undefined) return true;
  const room = program.limit - committed(program);
  return program.limit < program.budget && room < maxTokens * LOW_ROOM_TURNS;
}

/** Room of the next record. It never ends below what may be granted while the record is on its way. */
function aheadOf(program: IProgramSpending): number {
  const used = committed(program);
  const half = Math.floor(Math.max(0, program.budget - used) * AHEAD_SHARE);
  const unrecorded = program.limit === undefined ? Math.max(0, program.unrecorded - used) : 0;
  return Math.max(half, unrecorded);
}

function limitOf({ spent, running, ahead }: ISpendingRecord): number {
  return running.reduce((sum, { maxTokens }) => sum + maxTokens, spent + ahead);
}
