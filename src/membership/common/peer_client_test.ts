import test from "ava";
import type { Transport } from "@connectrpc/connect";
import { createRouterTransport } from "@connectrpc/connect";
import { Effect, Fiber, Result } from "effect";
import { TestClock } from "effect/testing";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { ServiceClients } from "./peer_client.ts";

const SILENT = {
  unary: () => new Promise<never>(() => {}),
  stream: () => new Promise<never>(() => {}),
} as Transport;

const WORKING = createRouterTransport((router) =>
  router.service(PeerService, { heartbeat: () => ({ viewNumber: 7 }) })
);

test("11: a connection to a peer that fell silent is replaced by a new one", async (t) => {
  let current = SILENT;
  const clients = new ServiceClients(PeerService, { get: () => current, reset: () => current = WORKING });
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
