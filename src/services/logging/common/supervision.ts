/** Keeps long-running work going if it ends by an unexpected error. */
import { Effect } from "effect";
import { toError } from "../../../base/common/errors.ts";
import type { ILogger } from "./logger.ts";

/** Delay before work is started again, in ms: work that fails each time must not keep the process busy. */
const RESTART_DELAY_MS = 1000;
/** Longest part of an error that is logged; its message may contain what another writer wrote. */
const MAX_LOGGED_ERROR_CHARS = 2000;

export interface ISupervisionOptions {
  /** Name of the work in the log. */
  readonly component: string;
  readonly logger: ILogger;
}

/** Does the work until it ends in order or is interrupted; logs each unexpected error and starts the work again. */
export function supervise(
  work: Effect.Effect<unknown>,
  { component, logger }: ISupervisionOptions,
): Effect.Effect<void> {
  const attempt = work.pipe(
    Effect.as(true),
    Effect.catchDefect((defect) =>
      Effect.sync(() => {
        logger.error("component-failed", { component, error: describeDefect(defect) });
        return false;
      })
    ),
  );
  return Effect.gen(function* () {
    while (!(yield* attempt)) yield* Effect.sleep(RESTART_DELAY_MS);
  });
}

/** Bounded text of an unexpected error, with its stack. */
export function describeDefect(defect: unknown): string {
  const { stack, message } = toError(defect);
  return (stack ?? message).slice(0, MAX_LOGGED_ERROR_CHARS);
}
