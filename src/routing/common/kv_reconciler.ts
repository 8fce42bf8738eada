/**
 * Releases KV cache on engines. The owner of a program releases it when the program ends. Periodic
 * reconciliation of the engines' caches with the known programs also releases cache that a failed owner did
 * not release, and the cache of programs that have been idle for long while an engine's memory is scarce.
 */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { Program } from "../../program/common/program_store.ts";
import type { BackendRegistry } from "./backend_registry.ts";
import type { EngineState } from "./engine_state.ts";

const RECONCILE_INTERVAL_MS = 3000;
/** Maximum age of the last journal read for which a program may be treated as unknown. */
const MAX_JOURNAL_AGE_MS = 1000;
/** Share of used KV cache from which an engine's memory is treated as scarce. */
const SCARCE_MEMORY_SHARE = 0.7;

export interface IKvReconcilerOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly registry: BackendRegistry;
  readonly decisions: IDecisionLog;
  readonly presetName: () => string;
  /** Idle time in ms after which a program's cache is released while memory is scarce. */
  readonly keepKvMs: () => number;
}

/** Reasons for releasing KV cache, as written to the decision log. */
enum ReleaseReason {
  Ended = "the program has ended",
  Idle = "memory is scarce and the program has paused for long",
}

export class KvReconciler {
  readonly #opts: IKvReconcilerOptions;
  /** Ids of unknown programs that each engine held in the last round, by engine id. */
  readonly #unknownPrograms = new Map<string, ReadonlySet<string>>();

  constructor(opts: IKvReconcilerOptions) {
    this.#opts = opts;
  }

  /** Releases KV cache of ended programs and reconciles periodically until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const context = yield* Effect.context<never>();
      this.#opts.state.programs.onDidEndProgram((program) => {
        if (!isSameIncarnation(this.#opts.state.views.current?.ownerOf(program.slice), this.#opts.self)) {
          return;
        }
        Effect.runForkWith(context)(Effect.forkIn(this.#releaseOnAllEngines(program), scope));
      });
      yield* Effect.forkScoped(this.#reconcilePeriodically());
    });
  }

  #releaseOnAllEngines(program: Program): Effect.Effect<void> {
    const cachingEngines = this.#opts.registry.engines.filter((engine) =>
      engine.cache.expectedTokens(program.id) > 0
    );
    const releases = cachingEngines.map((engine) =>
      this.#release(engine, { programIds: [program.id], reason: ReleaseReason.Ended })
    );
    return Effect.asVoid(Effect.all(releases, { concurrency: "unbounded" }));
  }

  #reconcilePeriodically(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(RECONCILE_INTERVAL_MS);
        const assigned = this.#opts.registry.engines.filter((engine) => this.#isAssigned(engine));
        yield* Effect.all(assigned.map((engine) => this.#reconcile(engine)), { concurrency: "unbounded" });
      }
    });
  }

  /** Whether this instance reconciles the engine; each engine is assigned to one member of the view. */
  #isAssigned({ id }: EngineState): boolean {
    return isSameIncarnation(this.#opts.state.views.current?.coordinatorFor(id), this.#opts.self);
  }

  #reconcile(engine: EngineState): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const holdings = yield* Effect.catch(engine.client.listKv(), () => Effect.succeed(undefined));
      if (holdings === undefined) return;
      const ids = holdings.map(({ programId }) => programId);
      const ended = ids.filter((id) => this.#opts.state.programs.get(id)?.hasEnded === true);
      const orphans = yield* this.#findOrphans(engine, ids);
      const idle = this.#findIdle(engine, { ids, now: yield* Clock.currentTimeMillis });
      yield* this.#release(engine, { programIds: [...ended, ...orphans], reason: ReleaseReason.Ended });
      yield* this.#release(engine, { programIds: idle, reason: ReleaseReason.Idle });
    });
  }

  /** Returns the programs that an up-to-date journal did not contain in two consecutive rounds. */
  #findOrphans(engine: EngineState, ids: readonly string[]): Effect.Effect<string[]> {
    return Effect.map(Clock.currentTimeMillis, (now) => {
      const { journal, state } = this.#opts;
      const isUpToDate = now - journal.lastReadToEndAtMs <= MAX_JOURNAL_AGE_MS;
      const unknown = isUpToDate ? ids.filter((id) => state.programs.get(id) === undefined) : [];
      const previous = this.#unknownPrograms.get(engine.id) ?? new Set();
      this.#unknownPrograms.set(engine.id, new Set(unknown));
      return unknown.filter((id) => previous.has(id));
    });
  }

  /** Returns the programs idle for longer than the configured time, if the engine's memory is scarce. */
  #findIdle(engine: EngineState, { ids, now }: { ids: readonly string[]; now: number }): string[] {
    const { kvUsedTokens, kvCapacityTokens } = engine.loadReport ?? { kvUsedTokens: 0, kvCapacityTokens: 1 };
    if (kvUsedTokens < kvCapacityTokens * SCARCE_MEMORY_SHARE) return [];
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
          engine.cache.remove(programId);
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
      // A failed release is retried in the next round.
      Effect.ignore,
    );
  }
}
