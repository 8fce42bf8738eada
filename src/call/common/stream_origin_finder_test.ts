import { Code, ConnectError, createRouterTransport } from "@connectrpc/connect";
import test from "ava";
import { Effect } from "effect";
import { TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { StreamOriginFinder } from "./stream_origin_finder.ts";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";

const STREAM = { attemptId: "r1", service: "s", softwareVersion: "v1", atMs: 0 };

/** Creates a finder whose peers know the stream, do not know it, are lost, or do not respond. */
function makeFinder(peers: readonly ("knows" | "lacks" | "lost" | "silent")[]) {
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
          return peers[index] === "knows" ? { stream: STREAM } : {};
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
  t.is((await Effect.runPromise(finder.find("r1")))?.softwareVersion, "v1");
  t.deepEqual(asked, []);
});

test("a stream is found at the one peer that knows it, though others are lost or silent", async (t) => {
  const { finder, registry } = makeFinder(["silent", "lost", "lacks", "knows"]);
  t.is((await Effect.runPromise(finder.find("r1")))?.softwareVersion, "v1");
  t.not(registry.get("r1"), undefined);
});

test("a stream that no peer knows is not found", async (t) => {
  for (const peers of [[], ["lacks", "lost"], ["silent", "lacks"]] as const) {
    const { finder } = makeFinder(peers);
    t.is(await Effect.runPromise(finder.find("r1")), undefined);
  }
});
