/** State of all programs. It is derived from the journal, and so the same on every instance. */
import { create } from "@bufbuild/protobuf";
import type { Grant, ProgramSpec, Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { BudgetSchema, EndCause } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { ProgramEnded, ProgramSnapshot } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { ProgramSnapshotSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { sliceOf } from "../../base/common/ids.ts";
import { BudgetLedger } from "./budget_ledger.ts";

/** One program with its history. */
export class Program {
  readonly spec: ProgramSpec;
  readonly slice: number;
  readonly ledger: BudgetLedger;
  readonly turns: Turn[] = [];
  endCause: EndCause = EndCause.UNSPECIFIED;
  /** Unix time in ms of the opening, the last turn or the end, whichever is latest. */
  lastActivityMs: number;

  constructor(spec: ProgramSpec) {
    this.spec = spec;
    this.slice = sliceOf(spec.programId);
    this.ledger = new BudgetLedger(spec.budget ?? create(BudgetSchema));
    this.lastActivityMs = spec.openedAtMs;
  }

  get id(): string {
    return this.spec.programId;
  }

  get hasEnded(): boolean {
    return this.endCause !== EndCause.UNSPECIFIED;
  }

  /** Step number that the next call must have. */
  get nextStep(): number {
    return this.turns.length + 1;
  }

  /** Number of tokens in the history, as last reported by an engine. */
  get historyTokens(): number {
    return this.turns.reduce((last, turn) => turn.historyTokens > 0 ? turn.historyTokens : last, 0);
  }
}

export class ProgramStore {
  readonly #programs = new Map<string, Program>();
  readonly #children = new Map<string, string[]>();
  readonly #onDidEndProgram = new Emitter<Program>();
  readonly onDidEndProgram: Event<Program> = this.#onDidEndProgram.event;

  get(programId: string): Program | undefined {
    return this.#programs.get(programId);
  }

  get all(): Iterable<Program> {
    return this.#programs.values();
  }

  get size(): number {
    return this.#programs.size;
  }

  /** Returns the program and its ancestors. A call of the program is charged to all of their budgets. */
  withAncestors(program: Program): Program[] {
    const parent = this.#programs.get(program.spec.parentId);
    return parent === undefined ? [program] : [program, ...this.withAncestors(parent)];
  }

  /** Returns the direct sub-programs of a program. */
  childrenOf(programId: string): Program[] {
    const ids = this.#children.get(programId) ?? [];
    return ids.flatMap((id) => this.#programs.get(id) ?? []);
  }

  open(spec: ProgramSpec, grants: readonly Grant[]): boolean {
    if (this.#programs.has(spec.programId)) return false;
    if (spec.parentId !== "" && this.#programs.get(spec.parentId)?.hasEnded !== false) return false;
    this.#add(new Program(spec));
    this.grant(grants);
    return true;
  }

  /** Applies grants, and ignores those for unknown programs. */
  grant(grants: readonly Grant[]): boolean {
    for (const grant of grants) this.#programs.get(grant.programId)?.ledger.applyGrant(grant);
    return true;
  }

  /** Adds a turn and settles its charge. Returns false if it is not the program's next step. */
  addTurn(programId: string, turn: Turn): boolean {
    const program = this.#programs.get(programId);
    if (program === undefined || turn.step !== program.nextStep) return false;
    program.turns.push(turn);
    program.lastActivityMs = Math.max(program.lastActivityMs, turn.atMs);
    for (const chargedProgram of this.withAncestors(program)) {
      chargedProgram.ledger.settle({ tokens: turn.generatedTokens, calls: 1 });
    }
    return true;
  }

  /** Ends a program and its sub-programs. */
  end({ programId, cause, atMs }: ProgramEnded): boolean {
    const program = this.#programs.get(programId);
    if (program === undefined || program.hasEnded) return false;
    program.endCause = cause;
    program.lastActivityMs = atMs;
    this.#onDidEndProgram.fire(program);
    for (const child of this.childrenOf(programId)) {
      this.end({ programId: child.id, cause: EndCause.PARENT, atMs } as ProgramEnded);
    }
    return true;
  }

  /** Deletes an ended program whose retention time has passed. */
  delete(programId: string): void {
    this.#programs.delete(programId);
    this.#children.delete(programId);
  }

  restore(snapshot: ProgramSnapshot): boolean {
    if (snapshot.spec === undefined || this.#programs.has(snapshot.spec.programId)) return false;
    const program = new Program(snapshot.spec);
    program.turns.push(...snapshot.turns);
    program.endCause = snapshot.ended;
    program.lastActivityMs = snapshot.lastActivityMs;
    program.ledger.settle({ tokens: snapshot.settledTokens, calls: snapshot.settledCalls });
    if (snapshot.grant !== undefined) program.ledger.applyGrant(snapshot.grant);
    this.#add(program);
    return true;
  }

  #add(program: Program): void {
    this.#programs.set(program.id, program);
    const { parentId } = program.spec;
    if (parentId !== "") this.#children.set(parentId, [...this.#children.get(parentId) ?? [], program.id]);
  }
}

/** Makes the record of a program's complete state, for readers that start after its first records. */
export function makeSnapshot(program: Program): ProgramSnapshot {
  const grant = program.ledger.toGrant(program.id);
  const { spent } = program.ledger;
  return create(ProgramSnapshotSchema, {
    spec: program.spec,
    turns: program.turns,
    grant,
    ended: program.endCause,
    settledTokens: spent.tokens - grant.burnedTokens,
    settledCalls: spent.calls - grant.burnedCalls,
    lastActivityMs: program.lastActivityMs,
  });
}
