/** Ends programs whose callers have gone: those without a call for longer than their kind allows. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { EndCause } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { isSameRun } from "../../membership/common/view.ts";
import type { IConfigurationSource } from "../../platform/configuration/common/configuration_source.ts";
import type { JournalState } from "./journal_state.ts";
import type { ProgramService } from "./program_service.ts";
import type { Program } from "./program_store.ts";

const INTERVAL_MS = 1000;

export interface IIdleReaperOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly programs: ProgramService;
  readonly configuration: IConfigurationSource;
  /** Whether a call of the program is under way. */
  readonly isRunning: (programId: string) => boolean;
}

export class IdleReaper {
  readonly #opts: IIdleReaperOptions;
  /** When this instance first saw a program at its present step, in ms of the clock. */
  readonly #seen = new Map<string, { step: number; atMs: number }>();

  constructor(opts: IIdleReaperOptions) {
    this.#opts = opts;
  }

  /** Looks for idle programs until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const repeat = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(INTERVAL_MS);
        const now = yield* Clock.currentTimeMillis;
        for (const program of this.#findIdle(now)) {
          const end = this.#opts.programs.end({
            programId: program.id,
            customer: undefined,
            cause: EndCause.IDLE,
          });
          yield* Effect.ignore(end);
        }
      }
    });
    return Effect.asVoid(Effect.forkScoped(repeat));
  }

  #findIdle(now: number): Program[] {
    const view = this.#opts.state.views.current;
    const idle: Program[] = [];
    for (const program of this.#opts.state.programs.all) {
      if (program.hasEnded || !isSameRun(view?.ownerOf(program.slice), this.#opts.self)) {
        this.#seen.delete(program.id);
        continue;
      }
      const kind = this.#opts.configuration.current?.programKinds[program.spec.kind];
      const idleMs = this.#idleTime(program, now);
      if (kind !== undefined && idleMs > kind.idleMs) idle.push(program);
    }
    return idle;
  }

  /** Time without a call; a program with an open sub-program or a running call is not idle. */
  #idleTime(program: Program, now: number): number {
    const seen = this.#seen.get(program.id);
    const hasOpenChild = this.#opts.state.programs.childrenOf(program.id).some((child) => !child.hasEnded);
    const isBusy = hasOpenChild || this.#opts.isRunning(program.id);
    if (seen === undefined || seen.step !== program.nextStep || isBusy) {
      this.#seen.set(program.id, { step: program.nextStep, atMs: now });
      return 0;
    }
    return now - seen.atMs;
  }
}
