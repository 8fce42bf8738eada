/** Graceful shutdown of an instance: hands its slices over to other instances and completes its calls. */
import { Clock, Effect } from "effect";
import type { IDaemonCore } from "./daemon_core.ts";

const POLL_MS = 20;
/** Maximum wait for the handover of slices after the last call, while the log service is unavailable. */
const HANDOVER_TIMEOUT_MS = 30_000;

/**
 * Drains an instance. Returns when it has no running calls, no pending journal records and no slices.
 * While the log service is unavailable no view can be committed that reassigns the slices; in that case
 * it returns with them after HANDOVER_TIMEOUT_MS.
 */
export function drainDaemon(core: IDaemonCore, isIdle: () => boolean): Effect.Effect<void> {
  return Effect.gen(function* () {
    core.membership.startDraining();
    yield* waitUntil(() => core.calls.runningCount === 0 && isIdle());
    const idleSince = yield* Clock.currentTimeMillis;
    while (
      !hasHandedOverSlices(core) || core.journal.backlog > 0 || core.calls.runningCount > 0 || !isIdle()
    ) {
      const isBlocked = core.journal.unavailableSinceMs !== undefined && core.journal.backlog === 0;
      if (isBlocked && (yield* Clock.currentTimeMillis) - idleSince > HANDOVER_TIMEOUT_MS) return;
      yield* Effect.sleep(POLL_MS);
    }
  });
}

/** Whether the instance owns no slices. The last member of a region has no instance to hand them over to. */
function hasHandedOverSlices(core: IDaemonCore): boolean {
  const view = core.state.views.current;
  if (view === undefined || view.members.length <= 1) return true;
  return view.slicesOf(core.self).length === 0;
}

function waitUntil(condition: () => boolean): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!condition()) yield* Effect.sleep(POLL_MS);
  });
}
