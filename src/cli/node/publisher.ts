/** Publishes configurations on the log service and waits for their verdict. */
import { Clock, Effect } from "effect";
import VError from "verror";
import type { PlatformError } from "../../base/common/errors.ts";
import type {
  IAcceptedConfiguration,
  IPublicationResult,
} from "../../services/configuration/common/publication.ts";
import {
  encodePublication,
  evaluatePublication,
  NO_VERSION,
} from "../../services/configuration/common/publication.ts";
import type { ILogService } from "../../services/log/common/log_service.ts";
import { CONFIGURATION_STREAM } from "../../services/log/common/log_service.ts";

const READ_LIMIT = 500;
const READ_WAIT_MS = 1000;
const VERDICT_TIMEOUT_MS = 10_000;

/** The publication was not read back from the stream in time. */
export class VerdictError extends VError {
  readonly _tag = "VerdictError";

  constructor() {
    super({ name: "VerdictError" }, "the publication was sent, but its verdict was not available in time");
  }
}

/** Verdict on a publication, with the configuration in force after it. */
export interface IPublishResult extends IPublicationResult {
  readonly offset: number;
}

export class Publisher {
  readonly #log: ILogService;

  constructor(log: ILogService) {
    this.#log = log;
  }

  /** Reads the configuration in force from the stream. */
  current(): Effect.Effect<IAcceptedConfiguration | undefined, PlatformError> {
    return Effect.map(this.#evaluateStream(() => false, 0), ({ current }) => current);
  }

  /** Publishes a document derived from the version `base`, by default the one in force. */
  publish(
    document: string,
    opts: { author: string; base?: number },
  ): Effect.Effect<IPublishResult, PlatformError | VerdictError> {
    return Effect.gen({ self: this }, function* () {
      const base = opts.base ?? (yield* this.current())?.version ?? NO_VERSION;
      const data = encodePublication({ base, author: opts.author, document });
      const offset = yield* this.#log.append(CONFIGURATION_STREAM, data);
      const evaluated = yield* this.#evaluateStream((candidate) => candidate === offset, VERDICT_TIMEOUT_MS);
      if (evaluated.found === undefined) return yield* Effect.fail(new VerdictError());
      return { ...evaluated.found, offset };
    });
  }

  /** Evaluates the stream from its start up to the entry that `isWanted` accepts, or to the current end. */
  #evaluateStream(
    isWanted: (offset: number) => boolean,
    timeoutMs: number,
  ): Effect.Effect<
    { current: IAcceptedConfiguration | undefined; found: IPublicationResult | undefined },
    PlatformError
  > {
    return Effect.gen({ self: this }, function* () {
      const deadlineMs = (yield* Clock.currentTimeMillis) + timeoutMs;
      let current: IAcceptedConfiguration | undefined;
      let from = 0;
      let isFromStart = true;
      while (true) {
        const waitMs = timeoutMs > 0 ? READ_WAIT_MS : 0;
        const page = yield* this.#log.read(CONFIGURATION_STREAM, { from, limit: READ_LIMIT, waitMs });
        if (page.oldest > from) isFromStart = false;
        for (const entry of page.entries) {
          const result = evaluatePublication(entry, { current, isFromStart });
          current = result.current;
          if (isWanted(entry.offset)) return { current, found: result };
        }
        from = page.next;
        const isAtEnd = page.entries.length < READ_LIMIT;
        if (isAtEnd && (yield* Clock.currentTimeMillis) >= deadlineMs) return { current, found: undefined };
      }
    });
  }
}
