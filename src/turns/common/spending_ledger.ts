/** Token budget accounting for the programs of one slice. */

/**
 * Percentage of a budget that may be granted without a log record, or one turn if that is more. After an unclean end the
 * next owner counts what exceeds one turn as spent for each program that has no record, also for those that begin later.
 */
export const UNRECORDED_PERCENT = 25;
/** Stated by owners of earlier builds that grant a turn of up to a sixth of the budget and 20 % of it. */
const EARLIER_STATED_PERCENT = 20;
const EARLIER_UNRECORDED_PERCENT = 37;
/** Owners of the first builds grant one turn of any limit and 36 % of the budget; their claims state no percentage. */
export const FORMER_UNRECORDED_PERCENT = 36;
/** Stands for {@link FORMER_UNRECORDED_PERCENT}, as the largest of all percentages. */
const ANY_TURN_PERCENT = 100;
/** Share of the turns that still fit the budget which a record reserves ahead of use. */
const RESERVED_SHARE = 0.4;
/**
 * Number of turns that must fit the remaining budget for a reservation after an unclean end, for a program that may have used
 * its turn beyond the budget: another unclean end would count the reservation as spent.
 */
const MIN_TURNS_FOR_RESERVATION = 4;
/** Largest number in the fields of a record. */
const MAX_UINT32 = 2 ** 32 - 1;
/** Maximum number of ended turns that are remembered, so that a late request to begin one of them is refused. */
const MAX_ENDED_TURNS = 2000;
/** Multiplier on the retention period before spending is evicted: allows for clock skew and long turns. */
const RETENTION_FACTOR = 2;
/** Time by which the clock of another instance may be ahead, in ms. */
const MAX_CLOCK_LEAD_MS = 24 * 60 * 60_000;

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
  /** Whether it was granted in an ownership that ended uncleanly, so that its instance may be lost. */
  readonly isInherited: boolean;
}

/** A program's spending record in the log; supersedes the program's earlier records. */
export interface ISpendingRecord {
  readonly programId: string;
  /** Tokens of turns that have ended. */
  readonly spent: number;
  readonly running: readonly IRunningTurn[];
  /** Tokens reserved beyond `spent` and `running`: may be granted before the next record. */
  readonly ahead: number;
  /** Part of `spent` that was reserved by owners whose ownership ended uncleanly: may not have been delivered. */
  readonly uncertain: number;
  /** Whether everything granted to the program is covered; false if turns may have been granted without a record. */
  readonly isComplete: boolean;
  readonly atMs: number;
  readonly retainMs: number;
}

interface IProgramSpending {
  readonly programId: string;
  /** Tokens of turns that have ended, plus what an earlier owner may have granted without a record. */
  spent: number;
  /** Part of `spent` that may not have been delivered. */
  uncertain: number;
  /** Token limit of each running turn, by turn id. */
  readonly running: Map<string, number>;
  /** Ids of the running turns granted in an ownership that ended uncleanly; their instances may be lost. */
  readonly inherited: Set<string>;
  /** Whether the committed tokens cover everything that earlier owners may have granted. */
  readonly isComplete: boolean;
  /** Token limit of the turn that began last. */
  maxTokens: number;
  /** Total number of tokens that the newest record covers; undefined without a record. */
  recordedLimit: number | undefined;
  /** Total number of tokens that may be granted without a record. */
  readonly unrecordedLimit: number;
  budget: number;
  lastUsedMs: number;
  retainMs: number;
}

/** When an ownership was last found to have ended without a release, and what it may have granted. */
export interface IUncleanEnd {
  /** Unix time in ms; 0 if never. */
  readonly uncleanAtMs: number;
  /** Largest percentage of a budget that may have been granted without a record. */
  readonly uncleanPercent: number;
}

/**
 * Grants turns against budgets in memory and writes log records asynchronously. Programs are many and
 * short, so that an append before each turn would add a store call and its latency to each; and during a
 * store outage, programs continue within the reservations already recorded.
 *
 * Safety does not depend on clocks. When an ownership ends without a release, the next owner counts the
 * full reservation of each record as spent, and running turns at their limit. A program without a record may have been
 * granted one turn, or a share of its budget if that is more: the excess counts as spent, and no turn is granted before a
 * record is written. So no loss of state lets a program receive more than its budget plus one turn.
 *
 * The load pattern is programs of one to nine sequential turns with a budget of about 1.6 times their use, and several losses of
 * all instances within a minute. What may not have been delivered is tracked separately, because it must not refuse a program
 * that has budget left: see {@link hasRoom}.
 */
export class SpendingLedger implements IUncleanEnd {
  readonly #programs = new Map<string, IProgramSpending>();
  readonly #dirty = new Set<IProgramSpending>();
  /** Ids of ended turns, in the order in which they ended. */
  readonly #ended = new Set<string>();
  /** Time at which an ownership was last found to have ended without a release; 0 if never. */
  #uncleanAtMs = 0;
  /** Largest percentage of a budget, see {@link grantedPercent}, that an ownership which ended uncleanly may have granted. */
  #uncleanPercent = 0;

  get size(): number {
    return this.#programs.size;
  }

  get uncleanAtMs(): number {
    return this.#uncleanAtMs;
  }

  get uncleanPercent(): number {
    return this.#uncleanPercent;
  }

  /**
   * Records that an ownership was found at `atMs` to have ended without a release, and which percentage of a budget it may
   * have granted without a record. Does nothing if `atMs` is 0, for never.
   */
  markUnclean(atMs: number, statedPercent = UNRECORDED_PERCENT): void {
    if (atMs === 0) return;
    const { uncleanAtMs, uncleanPercent } = this.uncleanAfter(atMs, statedPercent);
    this.#uncleanPercent = uncleanPercent;
    if (uncleanAtMs === this.#uncleanAtMs) return;
    this.#uncleanAtMs = uncleanAtMs;
    for (const { running, inherited } of this.#programs.values()) {
      for (const turnId of running.keys()) inherited.add(turnId);
    }
  }

  /** Returns what {@link markUnclean} would record, for a claim that may not be appended. */
  uncleanAfter(atMs: number, statedPercent: number): IUncleanEnd {
    return {
      uncleanAtMs: Math.max(this.#uncleanAtMs, atMs),
      uncleanPercent: Math.max(this.#uncleanPercent, grantedPercent(statedPercent)),
    };
  }

  /** Applies a record from the log; its reservation counts as spent. */
  restore(
    { programId, spent, running, ahead, uncertain, isComplete, atMs, retainMs }: ISpendingRecord,
  ): void {
    const program: IProgramSpending = {
      programId,
      spent: spent + ahead,
      uncertain: uncertain + ahead,
      running: new Map(running.map(({ turnId, maxTokens }) => [turnId, maxTokens])),
      inherited: new Set(running.filter(({ isInherited }) => isInherited).map(({ turnId }) => turnId)),
      isComplete,
      maxTokens: 0,
      recordedLimit: 0,
      unrecordedLimit: 0,
      budget: 0,
      lastUsedMs: atMs,
      retainMs,
    };
    program.recordedLimit = committedTokens(program);
    this.#programs.set(programId, program);
  }

  /**
   * Applies a record received from the former owner, which the log may not contain. Turns that wait there for a record are
   * begun again here, and must wait again: if this owner is lost too, the next one knows only the log.
   */
  adopt(record: ISpendingRecord): void {
    const loggedLimit = this.#programs.get(record.programId)?.recordedLimit ?? 0;
    this.restore(record);
    const program = this.#programs.get(record.programId);
    if (program?.recordedLimit === undefined) return;
    program.recordedLimit = Math.min(program.recordedLimit, loggedLimit);
  }

  /** Reserves a turn's token limit from the budget; idempotent for a turn that is already running. */
  begin(request: ITurnGrantRequest, now: number): GrantDecision {
    if (this.#ended.has(request.turnId)) return GrantDecision.AlreadyEnded;
    const known = this.#programs.get(request.programId);
    const program = known ?? this.#addProgram(request, now);
    program.lastUsedMs = now;
    program.retainMs = Math.max(program.retainMs, request.retainMs);
    program.budget = request.budget;
    program.inherited.delete(request.turnId);
    if (!program.running.has(request.turnId)) {
      if (!hasRoom(program, request.maxTokens)) {
        // What may be granted without a record depends on the limit of a turn that was granted.
        if (known === undefined) this.#programs.delete(request.programId);
        return GrantDecision.BudgetExhausted;
      }
      program.running.set(request.turnId, request.maxTokens);
      program.maxTokens = request.maxTokens;
      this.#dirty.add(program);
    }
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

  /** Whether a turn has been granted and has not ended. */
  isRunning(programId: string, turnId: string): boolean {
    return this.#programs.get(programId)?.running.has(turnId) === true;
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
    program.inherited.delete(turnId);
    program.spent += Math.min(tokens, maxTokens);
    // Without an unclean end, a record that counts the turn as running at its limit needs no replacement.
    if (tokens < maxTokens || this.#uncleanAtMs > 0) this.#dirty.add(program);
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
      this.#toRecord(program, { now, ahead: this.#nextReservation(program, now) })
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
      this.#toRecord(program, { now: program.lastUsedMs, ahead: this.#nextReservation(program, now) })
    );
  }

  /** Removes idle programs whose retention period has passed; turns of lost instances do not keep them. */
  #evictExpired(now: number): void {
    for (const [programId, { running, inherited, lastUsedMs, retainMs }] of this.#programs) {
      // The time of another writer's record may lie far in the future, or be no number.
      const idleMs = now - lastUsedMs;
      const isRetained = idleMs >= -MAX_CLOCK_LEAD_MS && idleMs <= retainMs * RETENTION_FACTOR;
      if (running.size === inherited.size && !isRetained) {
        this.#programs.delete(programId);
      }
    }
  }

  /**
   * Adds a program that has no record. Within the retention period after an unclean end, an earlier owner may
   * have granted it more than one turn without one; the excess counts as spent.
   */
  #addProgram({ programId, maxTokens, budget, retainMs }: ITurnGrantRequest, now: number): IProgramSpending {
    const isAfterUncleanEnd = this.#isAfterUncleanEnd(retainMs, now);
    const countedTokens = isAfterUncleanEnd ? countedExcess(this.#uncleanPercent, { budget, maxTokens }) : 0;
    const program: IProgramSpending = {
      programId,
      spent: countedTokens,
      uncertain: countedTokens,
      running: new Map(),
      inherited: new Set(),
      isComplete: !isAfterUncleanEnd,
      maxTokens,
      recordedLimit: undefined,
      unrecordedLimit: isAfterUncleanEnd ? 0 : Math.max(maxTokens, percentOf(budget, UNRECORDED_PERCENT)),
      budget,
      lastUsedMs: now,
      retainMs,
    };
    this.#programs.set(programId, program);
    return program;
  }

  #isAfterUncleanEnd(retainMs: number, now: number): boolean {
    return this.#uncleanAtMs > 0 && now < this.#uncleanAtMs + retainMs * RETENTION_FACTOR;
  }

  /**
   * Reservation of the next record: whole turns that still fit the budget, and at least what may be granted while the
   * append is in flight. Another unclean end would count it as spent. So after one, only one turn is reserved, and only while
   * none is running; turns that follow each other faster than that is recorded wait for their own record. So do the last turns
   * of a program that may have used its turn beyond the budget.
   */
  #nextReservation(program: IProgramSpending, now: number): number {
    const { budget, maxTokens, running, recordedLimit, unrecordedLimit, retainMs, isComplete } = program;
    const committed = committedTokens(program);
    const turnsLeft = maxTokens === 0 ? 0 : Math.floor(Math.max(0, budget - committed) / maxTokens);
    const isCautious = this.#isAfterUncleanEnd(retainMs, now);
    const isReservable = isComplete || turnsLeft >= MIN_TURNS_FOR_RESERVATION;
    const cautiousTurns = running.size === 0 && isReservable ? 1 : 0;
    const turns = isCautious ? cautiousTurns : Math.max(1, Math.floor(turnsLeft * RESERVED_SHARE));
    const unrecorded = recordedLimit === undefined ? Math.max(0, unrecordedLimit - committed) : 0;
    return Math.max(Math.min(turns, turnsLeft) * maxTokens, unrecorded);
  }

  #toRecord(program: IProgramSpending, { now, ahead }: { now: number; ahead: number }): ISpendingRecord {
    const { programId, spent, uncertain, isComplete, retainMs } = program;
    const running = [...program.running].map(([turnId, maxTokens]) => {
      return { turnId, maxTokens, isInherited: program.inherited.has(turnId) };
    });
    const record = {
      programId,
      // Records of other writers may add up to more than a message holds.
      spent: Math.min(spent, MAX_UINT32),
      running,
      ahead: Math.min(ahead, MAX_UINT32),
      uncertain: Math.min(uncertain, MAX_UINT32),
      isComplete,
      atMs: now,
      retainMs,
    };
    if (program.recordedLimit !== undefined) {
      program.recordedLimit = Math.min(program.recordedLimit, recordLimit(record));
    }
    return record;
  }
}

interface ITurnLimits {
  readonly budget: number;
  readonly maxTokens: number;
}

/** Percentage of a budget that an owner may have granted without a record, if that is more than one turn; by what its claim states. */
function grantedPercent(statedPercent: number): number {
  if (statedPercent === FORMER_UNRECORDED_PERCENT || statedPercent > ANY_TURN_PERCENT) {
    return ANY_TURN_PERCENT;
  }
  return statedPercent === EARLIER_STATED_PERCENT ? EARLIER_UNRECORDED_PERCENT : statedPercent;
}

/**
 * Tokens that count as spent for a program without a record after an unclean end, given the limit of the turn that it begins. One
 * turn of what may have been granted is not counted: it is the turn by which the budget may be exceeded.
 */
function countedExcess(percent: number, { budget, maxTokens }: ITurnLimits): number {
  if (percent === ANY_TURN_PERCENT) {
    return Math.max(0, Math.min(percentOf(budget, FORMER_UNRECORDED_PERCENT), budget - maxTokens));
  }
  return Math.max(0, percentOf(budget, percent) - maxTokens);
}

function percentOf(budget: number, percent: number): number {
  return Math.floor(budget * percent / 100);
}

/** Upper bound of the tokens that a program can have delivered so far. */
function committedTokens({ spent, running }: Pick<IProgramSpending, "spent" | "running">): number {
  let sum = spent;
  for (const maxTokens of running.values()) sum += maxTokens;
  return sum;
}

/**
 * Whether a turn fits the budget. A program may exceed its budget by one turn. If all its turns are covered by records, it
 * does so only where its committed tokens contain some that may not have been delivered, namely reservations and turns of
 * lost instances. The committed tokens are an upper bound, so they stay within the budget plus one turn. A program
 * that may have been granted turns without a record has used that turn already.
 */
function hasRoom(program: IProgramSpending, maxTokens: number): boolean {
  const { budget, uncertain, inherited, running, isComplete } = program;
  const committed = committedTokens(program);
  if (committed + maxTokens <= budget) return true;
  if (!isComplete || committed > budget) return false;
  let undelivered = uncertain;
  for (const turnId of inherited) undelivered += running.get(turnId) ?? 0;
  return committed - undelivered + maxTokens <= budget;
}

/** Total number of tokens that may be granted to a program before its next record. */
function grantableLimit({ recordedLimit, unrecordedLimit }: IProgramSpending): number {
  return recordedLimit ?? unrecordedLimit;
}

/** Total number of tokens that a record covers. */
function recordLimit({ spent, running, ahead }: ISpendingRecord): number {
  return running.reduce((sum, { maxTokens }) => sum + maxTokens, spent + ahead);
}
