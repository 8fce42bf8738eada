/** What the programs of one slice have spent of their token budgets. */

/** Share of a budget that a program may spend before its first record is in the log. */
const UNRECORDED_SHARE = 0.5;
/** Further turns for which a record leaves room: an outage of the store stops no program inside it. */
const TURNS_AHEAD = 2;
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

/** A program's record in the log: no more than the limit is granted before a further record. */
export interface ISpendingRecord {
  readonly programId: string;
  readonly limit: number;
  readonly atMs: number;
  readonly retainMs: number;
}

interface IProgramSpending {
  readonly programId: string;
  /** Tokens of turns that have ended. */
  spent: number;
  /** Most tokens of each running turn. */
  readonly running: Map<string, number>;
  /** Limit of the newest record in the log; undefined without one. */
  recorded: number | undefined;
  /** Limit that the next record will have. */
  wanted: number;
  lastUsedMs: number;
  retainMs: number;
}

/**
 * Grants turns against budgets in memory and has records follow in the log. Load pattern: many short
 * programs, where an append before each turn would cost a call to the store and its latency; and
 * outages of the store, in which programs go on inside what is recorded.
 *
 * Safety does not rest on time. After an unclean end of an ownership, a program with a record counts
 * as having spent its limit; one without counts as having spent what may go unrecorded, and gets
 * nothing further unrecorded.
 */
export class SpendingLedger {
  readonly #programs = new Map<string, IProgramSpending>();
  readonly #dirty = new Set<IProgramSpending>();
  /** Until when programs without a record may have spent something under an earlier owner. */
  #uncleanUntilMs = 0;

  get size(): number {
    return this.#programs.size;
  }

  /** Notes that the ownership before this one ended without a release. */
  markUnclean(untilMs: number): void {
    this.#uncleanUntilMs = Math.max(this.#uncleanUntilMs, untilMs);
  }

  /** Takes up a record read from the log. */
  restore({ programId, limit, atMs, retainMs }: ISpendingRecord): void {
    const fresh = { programId, running: new Map<string, number>() };
    this.#programs.set(programId, {
      ...fresh,
      spent: limit,
      recorded: limit,
      wanted: limit,
      lastUsedMs: atMs,
      retainMs,
    });
  }

  begin(grant: ITurnGrant, now: number): Spending {
    const program = this.#programs.get(grant.programId) ?? this.#open(grant, now);
    program.lastUsedMs = now;
    program.retainMs = Math.max(program.retainMs, grant.retainMs);
    if (!program.running.has(grant.turnId)) {
      if (committed(program) + grant.maxTokens > grant.budget) return Spending.Spent;
      program.running.set(grant.turnId, grant.maxTokens);
    }
    return this.#check(program, { ...grant, now });
  }

  /** Whether the log holds a record for all that the program has been granted. */
  isRecorded(programId: string): boolean {
    const program = this.#programs.get(programId);
    return program !== undefined && committed(program) <= (program.recorded ?? 0);
  }

  /** Notes what a turn has handed out; a turn that is not known (any more) changes nothing. */
  end(programId: string, { turnId, tokens }: { turnId: string; tokens: number }): void {
    const program = this.#programs.get(programId);
    const most = program?.running.get(turnId);
    if (program === undefined || most === undefined) return;
    program.running.delete(turnId);
    program.spent += Math.min(tokens, most);
  }

  /** Records to append; each supersedes the program's earlier ones. */
  takeDirty(now: number): ISpendingRecord[] {
    const records = [...this.#dirty].map(({ programId, wanted, retainMs }) => ({
      programId,
      limit: wanted,
      atMs: now,
      retainMs,
    }));
    this.#dirty.clear();
    return records;
  }

  /** Notes that records are in the log. */
  noteRecorded(records: readonly ISpendingRecord[]): void {
    for (const { programId, limit } of records) {
      const program = this.#programs.get(programId);
      if (program !== undefined) program.recorded = limit;
    }
  }

  /** Records that hold exactly what is spent and running, for the end of an ownership. */
  settle(now: number): ISpendingRecord[] {
    this.#dirty.clear();
    return [...this.#programs.values()].filter((program) => committed(program) !== program.recorded)
      .map((program) => ({
        programId: program.programId,
        limit: committed(program),
        atMs: now,
        retainMs: program.retainMs,
      }));
  }

  /** Records of all programs, for a checkpoint. */
  snapshot(now: number): ISpendingRecord[] {
    this.forget(now);
    return [...this.#programs.values()].map((program) => ({
      programId: program.programId,
      limit: program.wanted,
      atMs: program.lastUsedMs,
      retainMs: program.retainMs,
    }));
  }

  /** Drops programs that have been idle beyond their retention. */
  forget(now: number): void {
    for (const [programId, { running, lastUsedMs, retainMs }] of this.#programs) {
      if (running.size === 0 && now - lastUsedMs > retainMs * RETENTION_MARGIN) {
        this.#programs.delete(programId);
      }
    }
  }

  #open({ programId, budget, retainMs }: ITurnGrant, now: number): IProgramSpending {
    const program: IProgramSpending = {
      programId,
      spent: now < this.#uncleanUntilMs ? unrecorded(budget) : 0,
      running: new Map(),
      recorded: undefined,
      wanted: 0,
      lastUsedMs: now,
      retainMs,
    };
    this.#programs.set(programId, program);
    return program;
  }

  #check(program: IProgramSpending, { maxTokens, budget, now }: ITurnGrant & { now: number }): Spending {
    const used = committed(program);
    if (used + maxTokens > program.wanted) {
      program.wanted = Math.min(
        Math.max(budget, used),
        Math.max(unrecorded(budget), used + maxTokens * TURNS_AHEAD),
      );
      if (program.wanted > (program.recorded ?? 0)) this.#dirty.add(program);
    }
    if (used <= (program.recorded ?? 0)) return Spending.Granted;
    const isFresh = program.recorded === undefined && now >= this.#uncleanUntilMs;
    return isFresh && used <= unrecorded(budget) ? Spending.Granted : Spending.GrantedWhenRecorded;
  }
}

/** Most that a program can have handed out so far. */
function committed({ spent, running }: IProgramSpending): number {
  let sum = spent;
  for (const most of running.values()) sum += most;
  return sum;
}

/** Tokens that a program may spend without a record. */
function unrecorded(budget: number): number {
  return Math.floor(budget * UNRECORDED_SHARE);
}
