/** Ends abandoned programs, which are those without a call for longer than their kind allows. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { EndCause } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { JournalState } from "./journal_state.ts";
import type { ProgramService } from "./program_service.ts";
import type { Program } from "./program_store.ts";

const CHECK_INTERVAL_MS = 1000;

export interface IIdleReaperOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly programs: ProgramService;
  readonly configuration: IConfigurationSource;
  /** Whether a call of the program is running. */
  readonly isRunning: (programId: string) => boolean;
}

export class IdleReaper {
  readonly #opts: IIdleReaperOptions;

  constructor(opts: IIdleReaperOptions) {
    this.#opts = opts;
  }

  /** Ends idle programs until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const loop = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(CHECK_INTERVAL_MS);
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
    return Effect.asVoid(Effect.forkScoped(loop));
  }

  #findIdle(now: number): Program[] {
    const view = this.#opts.state.views.current;
    return [...this.#opts.state.programs.all].filter((program) => {
      if (program.hasEnded || !isSameIncarnation(view?.ownerOf(program.slice), this.#opts.self)) return false;
      const kind = this.#opts.configuration.current?.programKinds[program.spec.kind];
      return kind !== undefined && now - program.lastActivityMs > kind.idleMs && !this.#isBusy(program);
    });
  }

  /** A program with an open sub-program or a running call is not idle. */
  #isBusy(program: Program): boolean {
    const hasOpenChild = this.#opts.state.programs.childrenOf(program.id).some((child) => !child.hasEnded);
    return hasOpenChild || this.#opts.isRunning(program.id);
  }
}
