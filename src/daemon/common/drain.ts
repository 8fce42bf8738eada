/** The graceful stop of an instance: it hands its slices over and finishes its calls. */
import { Clock, Effect } from "effect";
import type { ICore } from "./core.ts";

const POLL_MS = 20;
/** Time after the last call for which an instance waits to hand over while no view can be made. */
const HAND_OVER_PATIENCE_MS = 30_000;

/**
 * Drains an instance. Returns when no call is under way here, nothing waits for the journal, and no
 * slice is owned any more, or cannot be handed over because the log service is out.
 */
export function drainCore(core: ICore, isIdle: () => boolean): Effect.Effect<void> {
  return Effect.gen(function* () {
    core.membership.drain();
    yield* until(() => core.calls.runningCount === 0 && isIdle());
    const idleSince = yield* Clock.currentTimeMillis;
    while (!hasHandedOver(core) || core.journal.backlog > 0 || core.calls.runningCount > 0 || !isIdle()) {
      const isStuck = core.journal.unavailableSince !== undefined && core.journal.backlog === 0;
      if (isStuck && (yield* Clock.currentTimeMillis) - idleSince > HAND_OVER_PATIENCE_MS) return;
      yield* Effect.sleep(POLL_MS);
    }
  });
}

/** Whether no slice is left here. The last member of a region has nobody to hand over to. */
function hasHandedOver(core: ICore): boolean {
  const view = core.state.views.current;
  if (view === undefined || view.members.length <= 1) return true;
  return view.slicesOf(core.self).length === 0;
}

function until(condition: () => boolean): Effect.Effect<void> {
  return Effect.gen(function* () {
    while (!condition()) yield* Effect.sleep(POLL_MS);
  });
}
