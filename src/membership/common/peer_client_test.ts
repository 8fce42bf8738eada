import test from "ava";
import type { Transport } from "@connectrpc/connect";
import { createRouterTransport } from "@connectrpc/connect";
import { Effect, Fiber, Result } from "effect";
import { TestClock } from "effect/testing";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { PeerRpcClients } from "./peer_client.ts";

const UNRESPONSIVE = {
  unary: () => new Promise<never>(() => {}),
  stream: () => new Promise<never>(() => {}),
} as Transport;

const RESPONSIVE = createRouterTransport((router) =>
  router.service(PeerService, { heartbeat: () => ({ viewNumber: 7 }) })
);

test("11: after a call to a peer times out, the next call uses a new connection", async (t) => {
  let current = UNRESPONSIVE;
  const clients = new PeerRpcClients(PeerService, { get: () => current, reset: () => current = RESPONSIVE });
  const call = clients.call("peer", {
    timeoutMs: 1000,
    invoke: (client, signal) => client.heartbeat({}, { signal }),
  });
  const work = Effect.gen(function* () {
    const first = yield* Effect.forkChild(Effect.result(call));
    yield* Effect.yieldNow;
    yield* TestClock.adjust(1000);
    t.true(Result.isFailure(yield* Fiber.join(first)));
    t.is((yield* call).viewNumber, 7);
  });
  await Effect.runPromise(Effect.provide(work, TestClock.layer()));
});
