/**
 * Frees engine memory: of programs that have ended, at once through their owner; by comparing the engines'
 * holdings with the programs, so that what a dead owner left behind goes too; and of programs that have
 * paused for long where memory is scarce.
 */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { isSameRun } from "../../membership/common/view.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { Program } from "../../program/common/program_store.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { EngineState } from "./engine_state.ts";

const RECONCILE_INTERVAL_MS = 3000;
/** Oldest reading of the journal on which a program may be called unknown, in ms. */
const MAX_JOURNAL_AGE_MS = 1000;
/** Share of an engine's memory from which on it is scarce. */
const SCARCE_FROM = 0.7;

export interface IKvReconcilerOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly registry: BackendRegistry;
  readonly decisions: IDecisionLog;
  readonly presetName: () => string;
  /** Longest pause after which a program's cache is kept while memory is scarce, in ms. */
  readonly keepKvMs: () => number;
}

/** Why engine memory is freed. */
enum ReleaseReason {
  Ended = "the program has ended",
  Paused = "memory is scarce and the program has paused for long",
}

export class KvReconciler {
  readonly #opts: IKvReconcilerOptions;
  /** Holdings without a known program at the last round, by engine. */
  readonly #unknown = new Map<string, ReadonlySet<string>>();

  constructor(opts: IKvReconcilerOptions) {
    this.#opts = opts;
  }

  /** Releases and reconciles until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.state.programs.onDidEndProgram((program) => {
        if (!isSameRun(this.#opts.state.views.current?.ownerOf(program.slice), this.#opts.self)) return;
        Effect.runForkWith(context)(Effect.forkIn(this.#releaseEverywhere(program), scope));
      });
      yield* Effect.forkScoped(this.#reconcileForever());
    });
  }

  #releaseEverywhere(program: Program): Effect.Effect<void> {
    const holders = this.#opts.registry.engines.filter((engine) =>
      engine.cache.expectedTokens(program.id) > 0
    );
    const releases = holders.map((engine) =>
      this.#release(engine, { programIds: [program.id], reason: ReleaseReason.Ended })
    );
    return Effect.asVoid(Effect.all(releases, { concurrency: "unbounded" }));
  }

  #reconcileForever(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(RECONCILE_INTERVAL_MS);
        const owned = this.#opts.registry.engines.filter((engine) => this.#isOwn(engine));
        yield* Effect.all(owned.map((engine) => this.#reconcile(engine)), { concurrency: "unbounded" });
      }
    });
  }

  /** Each engine is reconciled by one member. */
  #isOwn({ id }: EngineState): boolean {
    return isSameRun(this.#opts.state.views.current?.actorFor(id), this.#opts.self);
  }

  #reconcile(engine: EngineState): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const holdings = yield* Effect.catch(engine.client.listKv(), () => Effect.succeed(undefined));
      if (holdings === undefined) return;
      const ids = holdings.map(({ programId }) => programId);
      const ended = ids.filter((id) => this.#opts.state.programs.get(id)?.hasEnded === true);
      const orphans = yield* this.#findOrphans(engine, ids);
      const paused = this.#findPaused(engine, { ids, now: yield* Clock.currentTimeMillis });
      yield* this.#release(engine, { programIds: [...ended, ...orphans], reason: ReleaseReason.Ended });
      yield* this.#release(engine, { programIds: paused, reason: ReleaseReason.Paused });
    });
  }

  /** A program that the journal does not know twice in a row, while the journal is up to date, is gone. */
  #findOrphans(engine: EngineState, ids: readonly string[]): Effect.Effect<string[]> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const { journal, state } = this.#opts;
      const isFresh = now - journal.confirmedAt <= MAX_JOURNAL_AGE_MS;
      const unknown = isFresh ? ids.filter((id) => state.programs.get(id) === undefined) : [];
      const before = this.#unknown.get(engine.id) ?? new Set();
      this.#unknown.set(engine.id, new Set(unknown));
      return unknown.filter((id) => before.has(id));
    });
  }

  /** While an engine's memory is scarce, programs that have paused for long make room for others. */
  #findPaused(engine: EngineState, { ids, now }: { ids: readonly string[]; now: number }): string[] {
    const { kvUsedTokens, kvCapacityTokens } = engine.report ?? { kvUsedTokens: 0, kvCapacityTokens: 1 };
    if (kvUsedTokens < kvCapacityTokens * SCARCE_FROM) return [];
    return ids.filter((id) => {
      const program = this.#opts.state.programs.get(id);
      return program !== undefined && now - program.lastActivityMs > this.#opts.keepKvMs();
    });
  }

  #release(
    engine: EngineState,
    { programIds, reason }: { programIds: readonly string[]; reason: ReleaseReason },
  ): Effect.Effect<void> {
    if (programIds.length === 0) return Effect.void;
    return engine.client.releaseKv(programIds).pipe(
      Effect.map(() => {
        for (const programId of programIds) {
          engine.cache.forget(programId);
          this.#opts.decisions.write({
            kind: DecisionKind.Kv,
            programId,
            step: 0,
            choice: engine.id,
            reason,
            preset: this.#opts.presetName(),
            candidates: [],
          });
        }
      }),
      // The next round finds what could not be released now.
      Effect.ignore,
    );
  }
}
