import { Code, ConnectError, createRouterTransport } from "@connectrpc/connect";
import test from "ava";
import { Effect } from "effect";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { StreamOriginFinder } from "./stream_origin_finder.ts";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";

const STREAM = { attemptId: "r1", contentKey: 7n, service: "s", softwareVersion: "v1", atMs: 0 };
const BY_ATTEMPT = { attemptId: "r1", contentKey: 7n };
const BY_CONTENT = { attemptId: undefined, contentKey: 7n };

/**
 * Creates a finder whose peers know the stream, do not know it, are lost, do not respond, or know the stream although they
 * have started after it began.
 */
function makeFinder(
  peers: readonly ("knows" | "lacks" | "lost" | "silent" | "other try" | "knows in part")[],
) {
  const asked: number[] = [];
  const registry = new StreamOriginRegistry(() => 0);
  const transportOf = (address: string) => {
    const index = Number(address);
    return createRouterTransport((router) =>
      router.service(TurnService, {
        findStream: () => {
          asked.push(index);
          if (peers[index] === "lost") throw new ConnectError("lost", Code.Unavailable);
          if (peers[index] === "silent") return new Promise<never>(() => {});
          if (peers[index] === "other try") {
            return { streams: [{ ...STREAM, attemptId: "r2", softwareVersion: "v2" }], completeSinceMs: -1 };
          }
          if (peers[index] === "knows in part") return { streams: [STREAM], completeSinceMs: 1 };
          return peers[index] === "knows" ? { streams: [STREAM], completeSinceMs: -1 } : {};
        },
      })
    );
  };
  const finder = new StreamOriginFinder({
    registry,
    peers: new PeerRpcClients(TurnService, { get: transportOf, reset: () => {} }),
    peerAddresses: () => peers.map((_, index) => String(index)),
    logger: new NullLogger(),
  });
  return { finder, registry, asked };
}

test("a stream that is known here is found without asking", async (t) => {
  const { finder, registry, asked } = makeFinder(["lacks"]);
  registry.add(STREAM);
  t.is((await Effect.runPromise(finder.find(BY_ATTEMPT)))?.softwareVersion, "v1");
  t.deepEqual(asked, []);
});

test("a stream is found at the one peer that knows it, though others are lost or silent", async (t) => {
  const { finder, registry } = makeFinder(["silent", "lost", "lacks", "knows"]);
  t.is((await Effect.runPromise(finder.find(BY_ATTEMPT)))?.softwareVersion, "v1");
  t.not(registry.find(BY_ATTEMPT), undefined);
});

test("a stream that no peer knows is not found", async (t) => {
  for (const peers of [[], ["lacks", "lost"], ["silent", "lacks"]] as const) {
    const { finder } = makeFinder(peers);
    t.is(await Effect.runPromise(finder.find(BY_ATTEMPT)), undefined);
  }
});

test("a newer try may be lost if no instance has run since before the known one", async (t) => {
  const { finder, registry } = makeFinder(["knows in part", "lacks", "lost"]);
  registry.add(STREAM);
  t.is(await Effect.runPromise(finder.find(BY_CONTENT)), undefined);
  t.is((await Effect.runPromise(finder.find(BY_ATTEMPT)))?.softwareVersion, "v1");
  const confirmed = makeFinder(["knows in part", "knows"]);
  t.is((await Effect.runPromise(confirmed.finder.find(BY_CONTENT)))?.softwareVersion, "v1");
});

test("a stream whose caller names no attempt is found by its content, unless its tries differ", async (t) => {
  const { finder } = makeFinder(["lacks", "knows"]);
  t.is((await Effect.runPromise(finder.find(BY_CONTENT)))?.softwareVersion, "v1");
  const ambiguous = makeFinder(["knows", "other try"]);
  t.is(await Effect.runPromise(ambiguous.finder.find(BY_CONTENT)), undefined);
  t.is((await Effect.runPromise(ambiguous.finder.find(BY_ATTEMPT)))?.softwareVersion, "v1");
});
