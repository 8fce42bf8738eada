import test from "ava";
import { create } from "@bufbuild/protobuf";
import { Effect, Fiber } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { MemberSchema, MemberState } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { SliceHandover } from "./slice_handover.ts";
import type { PeerClients } from "./peer_client.ts";
import { makeNextView, ViewTracker } from "./view.ts";

function member(instanceId: string): Member {
  return create(MemberSchema, { instanceId, incarnation: "1", state: MemberState.ACTIVE });
}

/**
 * Guards against calls that wait forever for a slice that has moved to another instance. Recovery never
 * completes here, so that only the reassignment can end the wait.
 */
test("a wait for a slice ends when the slice is reassigned before it is ready", async (t) => {
  const [a, b] = [member("a"), member("b")];
  const views = new ViewTracker();
  const timing = { leaseMs: 0, failureTimeoutMs: 0 } as never;
  const handover = new SliceHandover({
    self: a,
    views,
    peers: {} as PeerClients,
    timing,
    heartbeatAgeMs: () => Effect.succeed(0),
  });
  const work = Effect.gen(function* () {
    yield* handover.start({ registerRunningCalls: () => {}, recover: () => Effect.never });
    views.apply(makeNextView(undefined, [a]));
    const slice = 0;
    const waiting = yield* Effect.forkChild(handover.awaitReady(slice));
    yield* Effect.yieldNow;
    views.apply(makeNextView(views.current, [b]));
    t.false(yield* Fiber.join(waiting));
  });
  await Effect.runPromise(Effect.scoped(work));
});
