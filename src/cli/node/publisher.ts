/** Publishes a configuration on the log service and waits for the verdict. */
import { Clock, Effect } from "effect";
import VError from "verror";
import type { PlatformError } from "../../base/common/errors.ts";
import type { IAcceptedConfiguration, IJudgement } from "../../services/configuration/common/publication.ts";
import { encodePublication, judge, NO_VERSION } from "../../services/configuration/common/publication.ts";
import type { ILogService } from "../../services/log/common/log_service.ts";
import { CONFIGURATION_STREAM } from "../../services/log/common/log_service.ts";

const READ_LIMIT = 500;
const READ_WAIT_MS = 1000;
const PATIENCE_MS = 10_000;

/** The publication did not come back through the stream in time. */
export class VerdictError extends VError {
  readonly _tag = "VerdictError";

  constructor() {
    super({ name: "VerdictError" }, "the publication was sent, but its verdict did not come in time");
  }
}

/** The verdict on one publication, with the configuration then in force. */
export interface IPublished extends IJudgement {
  readonly offset: number;
}

export class Publisher {
  readonly #log: ILogService;

  constructor(log: ILogService) {
    this.#log = log;
  }

  /** The configuration in force, from the stream. */
  current(): Effect.Effect<IAcceptedConfiguration | undefined, PlatformError> {
    return Effect.map(this.#judgeAll(() => false, 0), ({ current }) => current);
  }

  /** Publishes a document made from a version, or from the current one. */
  publish(
    document: string,
    opts: { author: string; base?: number },
  ): Effect.Effect<IPublished, PlatformError | VerdictError> {
    return Effect.gen({ self: this }, function* () {
      const base = opts.base ?? (yield* this.current())?.version ?? NO_VERSION;
      const data = encodePublication({ base, author: opts.author, document });
      const offset = yield* this.#log.append(CONFIGURATION_STREAM, data);
      const judged = yield* this.#judgeAll((at) => at === offset, PATIENCE_MS);
      if (judged.found === undefined) return yield* Effect.fail(new VerdictError());
      return { ...judged.found, offset };
    });
  }

  /** Judges the stream from its start, to the entry that is looked for or to its present end. */
  #judgeAll(
    isWanted: (offset: number) => boolean,
    patienceMs: number,
  ): Effect.Effect<
    { current: IAcceptedConfiguration | undefined; found: IJudgement | undefined },
    PlatformError
  > {
    return Effect.gen({ self: this }, function* () {
      const until = (yield* Clock.currentTimeMillis) + patienceMs;
      let current: IAcceptedConfiguration | undefined;
      let from = 0;
      let isFromStart = true;
      while (true) {
        const waitMs = patienceMs > 0 ? READ_WAIT_MS : 0;
        const page = yield* this.#log.read(CONFIGURATION_STREAM, { from, limit: READ_LIMIT, waitMs });
        if (page.oldest > from) isFromStart = false;
        for (const entry of page.entries) {
          const judgement = judge(entry, { current, isFromStart });
          current = judgement.current;
          if (isWanted(entry.offset)) return { current, found: judgement };
        }
        from = page.next;
        const isAtEnd = page.entries.length < READ_LIMIT;
        if (isAtEnd && (yield* Clock.currentTimeMillis) >= until) return { current, found: undefined };
      }
    });
  }
}
