/** How long a server may be silent before a request that may run again goes on at another one. */
import { Effect } from "effect";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind } from "../../services/routes/common/route_table.ts";
import { UpstreamError, UpstreamFault } from "./opaque_request.ts";

/** Minimum time to wait for a response head before a repeatable request is sent to another server. */
const MIN_RESPONSE_SILENCE_MS = 700;
/** The same as a multiple of the route's target latency, where that exceeds the minimum. */
const RESPONSE_TARGETS = 4;

/** Callers abandon a stream after the longest of these times without an event, also before its first one. */
const MIN_CALLER_PATIENCE_MS = 2000;
const CALLER_PATIENCE_TARGETS = 4;
const CALLER_PATIENCE_PAUSES = 8;

/** Minimum time without an event after which a stream goes on at another server: sound servers pause for a second or so. */
const MIN_EVENT_SILENCE_MS = 1500;
/** The same before a server's first event as a multiple of the target latency, and later of the route's longest pause. */
const FIRST_EVENT_TARGETS = 3;
const LATER_EVENT_PAUSES = 4;
/** Share of the caller's patience after which another server would bring its next event too late. */
const LATEST_SWITCH_SHARE = 0.75;
/** Silence that each server of a stream is allowed, however long the caller has been waiting. */
const MIN_ALLOWED_SILENCE_MS = 1000;

/** Interval at which it is determined again whether a request may leave a silent server, in ms. */
const RECHECK_INTERVAL_MS = 250;
/** Delay of a timer from which bytes may have arrived that this instance, standing still, has not read. */
const MAX_TIMER_DELAY_MS = 50;

/** When a request may leave a silent server; times in ms of a clock that does not jump. */
export interface ISilenceLimit {
  readonly atMs: number;
  /** Time after which it is too late for another server. */
  readonly latestMs: number;
}

/** Since when nothing has arrived; times in ms of a clock that does not jump. */
export interface ISilence {
  /** Time of the last event or, without one, of the send. */
  readonly serverSinceMs: number;
  /** Time of the caller's last event or, without one, of its request. */
  readonly callerSinceMs: number;
}

/** Limit of the wait for the head of a response; undefined if another server would be too late. */
export function headSilenceLimit(
  route: IRoute,
  { serverSinceMs, callerSinceMs }: ISilence,
): ISilenceLimit | undefined {
  const usualMs = Math.max(MIN_RESPONSE_SILENCE_MS, route.targetMs * RESPONSE_TARGETS);
  if (route.kind !== RouteKind.Stream) return { atMs: serverSinceMs + usualMs, latestMs: Infinity };
  const latestMs = callerSinceMs + callerPatienceMs(route) * LATEST_SWITCH_SHARE;
  return limitOf({ serverSinceMs, usualMs, minMs: MIN_RESPONSE_SILENCE_MS, latestMs });
}

/** Limit of the wait for the next event of a stream; undefined if another server would be too late. */
export function eventSilenceLimit(
  route: IRoute,
  { serverSinceMs, callerSinceMs, isFirstEvent }: ISilence & { readonly isFirstEvent: boolean },
): ISilenceLimit | undefined {
  const { targetMs, maxPauseMs = 0 } = route;
  const allowanceMs = isFirstEvent ? targetMs * FIRST_EVENT_TARGETS : maxPauseMs * LATER_EVENT_PAUSES;
  const usualMs = Math.max(MIN_EVENT_SILENCE_MS, allowanceMs);
  const latestMs = callerSinceMs + callerPatienceMs(route) * LATEST_SWITCH_SHARE;
  return limitOf({ serverSinceMs, usualMs, minMs: MIN_ALLOWED_SILENCE_MS, latestMs });
}

/** Time without an event after which callers abandon a stream of a route, in ms. */
function callerPatienceMs({ targetMs, maxPauseMs = 0 }: IRoute): number {
  return Math.max(
    MIN_CALLER_PATIENCE_MS,
    targetMs * CALLER_PATIENCE_TARGETS,
    maxPauseMs * CALLER_PATIENCE_PAUSES,
  );
}

function limitOf(
  { serverSinceMs, usualMs, minMs, latestMs }: {
    serverSinceMs: number;
    usualMs: number;
    minMs: number;
    latestMs: number;
  },
): ISilenceLimit | undefined {
  const atMs = Math.min(serverSinceMs + usualMs, latestMs);
  return atMs - serverSinceMs < minMs ? undefined : { atMs, latestMs };
}

export interface ISilenceObserver {
  /** Time in ms of a clock that does not jump. */
  readonly now: () => number;
  /** Returns the limit as of now; it moves with each event. */
  readonly limit: () => ISilenceLimit | undefined;
  /** Whether another server may take the request over. */
  readonly mayLeave: () => boolean;
}

/** Fails once a server has been silent up to the limit while another one may take its request over. */
export function failWhenSilent(
  { now, limit, mayLeave }: ISilenceObserver,
): Effect.Effect<never, UpstreamError> {
  return Effect.gen(function* () {
    while (true) {
      const current = limit();
      const remainingMs = current === undefined ? 0 : current.atMs - now();
      const isLate = current === undefined || now() > current.latestMs + RECHECK_INTERVAL_MS;
      if (remainingMs <= 0 && !isLate && mayLeave()) {
        return yield* Effect.fail(new UpstreamError(UpstreamFault.TimedOut));
      }
      const wakeAtMs = now() + (remainingMs > 0 ? remainingMs + 1 : RECHECK_INTERVAL_MS);
      yield* Effect.sleep(wakeAtMs - now());
      if (now() - wakeAtMs > MAX_TIMER_DELAY_MS) yield* Effect.sleep(1);
    }
  });
}
